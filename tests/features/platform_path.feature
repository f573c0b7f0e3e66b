Feature: Requests end to end on the platform, with real processes

  Scenario Outline: <case>
    # Each case opens with its symptom, sequence and cause; see
    # tests/cases/adapter.py.
    When the case "<case>" of "<group>" is played

    Examples: end to end
      | group | case |
      | adapter | every kind of request is served whole |
      | adapter | what is not allowed is said so |
      | adapter | nothing is ready before the first table |
      | adapter | a large fleet serves by some of its daemons |
      | adapter | a key taken away is refused within its bound |
      | adapter | an outage of the store ends keys alone |
      | adapter | lost history is survived |
      | adapter | weights are rolled out once |
      | adapter | a stream that breaks goes on elsewhere |
      | adapter | a broken stream never looks whole |
      | adapter | a caller that leaves ends the work |
      | adapter | a planned stop cuts nothing |
      | adapter | a server that drains gets nothing new |
      | adapter | settings that lack a value are named |
      | adapter | names of the wire stand in one folder |
      | adapter | the adapter decides nothing |
      | adapter | a short soak keeps every promise |
