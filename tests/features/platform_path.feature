Feature: Requests end to end on the platform, with real processes

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/adapter.py states the failure that it
    # guards against.
    When the case "<case>" of "<group>" is played

    Examples: end to end
      | group | case |
      | adapter | every kind of request is served whole |
      | adapter | invalid requests get a status of their own |
      | adapter | nothing is ready before the first table |
      | adapter | a large fleet serves from some of its daemons |
      | adapter | a revoked key is refused within its time limit |
      | adapter | a store outage ends only the use of keys |
      | adapter | a daemon recovers from lost store history |
      | adapter | weights are rolled out once |
      | adapter | a broken stream resumes at another engine |
      | adapter | a broken stream never looks whole |
      | adapter | a caller that leaves ends the work |
      | adapter | a planned stop cuts nothing |
      | adapter | a draining server gets no new requests |
      | adapter | a missing setting is named |
      | adapter | wire names appear only in the adapter |
      | adapter | the adapter makes no decisions |
      | adapter | stand ins import nothing of the product |
      | adapter | a short soak keeps every promise |
