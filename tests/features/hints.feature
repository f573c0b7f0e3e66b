Feature: What daemons believe about an engine's cache

  Scenario Outline: Late, lost and duplicate events, and restarts of the engine
    # Symptom: with one event in twenty lost, every rulebook is computed again
    #   at another engine (hit rate 0.46 where 0.90 is possible).
    # Sequence: the watcher of an engine reads its events, <story>; it applies
    #   the summary of them and sends it to a second daemon.
    # Cause: each gap in the events discarded all that was known of the cache.
    When an engine's events are read as "<events>"
    Then the watcher and the daemon it tells believe "<held>" to be cached

    Examples: e@N is event N of process e; + stored, - removed, c cleared
      | story                         | events                      | held |
      | none lost                     | a@1+x a@2+y a@3-x           | y    |
      | a batch read twice            | a@1+x a@2-x a@1+x a@2-x     |      |
      | one lost within a batch       | a@1+x a@3+y                 | x y  |
      | one lost between two batches  | a@1+x / a@4+y               | x y  |
      | an eviction lost              | a@1+x a@2+y / a@4+z         | x y z |
      | the cache cleared             | a@1+x a@2+y / a@3c a@4+z    | z    |
      | cleared after a gap           | a@1+x / a@4c a@5+y          | y    |
      | the engine restarts           | a@7+x a@8+y / b@1+z         | z    |
      | a late event of process a     | a@7+x / b@1+z / a@8+y       | z    |
