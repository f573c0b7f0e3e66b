Feature: An isolated workspace shares no cached state with others

  Scenario: Real processes, a workspace is isolated, shared, isolated again and renamed
    When the case "others find nothing of a workspace that was isolated" of "isolation" is played

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against.
    When the case "<case>" of "isolation" is played

    Examples: scopes
      | case |
      | no history of isolation shares state |
      | equal configurations share one scope |
      | a workspace named like a group stays apart |
      | cache events are found under the scope that was sent |
      | a request that waits takes the scope in force |
