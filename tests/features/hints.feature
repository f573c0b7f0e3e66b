Feature: What daemons believe of an engine's cache

  Scenario Outline: Events late, lost, doubled and of an engine that restarts
    # Symptom: with one event in twenty lost, every rulebook is computed again
    #   at another engine (hit rate 0.46 where 0.90 was possible).
    # Sequence: the watcher of an engine reads its events, <story>; it and a
    #   daemon that it tells take in what it makes of them.
    # Cause: all hints on an engine dropped at each gap in its events.
    When an engine's events are read as "<events>"
    Then the watcher and the daemon it tells believe "<held>" to be cached

    Examples: e@N is event N of process e; + stored, - removed, c cleared
      | story                         | events                      | held |
      | none lost                     | a@1+x a@2+y a@3-x           | y    |
      | a piece read twice            | a@1+x a@2-x a@1+x a@2-x     |      |
      | one lost in mid-piece         | a@1+x a@3+y                 | x y  |
      | one lost between two pieces   | a@1+x / a@4+y               | x y  |
      | an eviction lost              | a@1+x a@2+y / a@4+z         | x y z |
      | the cache cleared             | a@1+x a@2+y / a@3c a@4+z    | z    |
      | cleared after a gap           | a@1+x / a@4c a@5+y          | y    |
      | the engine restarts           | a@7+x a@8+y / b@1+z         | z    |
      | old news of the first process | a@7+x / b@1+z / a@8+y       | z    |
