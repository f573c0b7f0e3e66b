Feature: The daemons' hints of what an engine has cached

  Scenario Outline: Late, lost and repeated events, and restarts
    # Symptom: with one event in twenty lost, every cached prefix is computed
    #   again at another engine (hit rate 0.46 where 0.90 was possible).
    # Sequence: the watcher of an engine reads its events (<case>); it and a
    #   daemon that receives its updates apply the digests of them.
    # Cause: all hints on an engine are dropped at each gap in its events.
    When an engine's events are read as "<events>"
    Then the watcher and the daemon that it updates have "<cached>" as cached

    Examples: e@N is event N of process e; + stored, - removed, c cleared
      | case                            | events                   | cached |
      | none lost                       | a@1+x a@2+y a@3-x        | y      |
      | a batch read twice              | a@1+x a@2-x a@1+x a@2-x  |        |
      | one lost within a batch         | a@1+x a@3+y              | x y    |
      | one lost between two batches    | a@1+x / a@4+y            | x y    |
      | an eviction lost                | a@1+x a@2+y / a@4+z      | x y z  |
      | the cache cleared               | a@1+x a@2+y / a@3c a@4+z | z      |
      | cleared after a gap             | a@1+x / a@4c a@5+y       | y      |
      | the engine restarts             | a@7+x a@8+y / b@1+z      | z      |
      | late event of the first process | a@7+x / b@1+z / a@8+y    | z      |
