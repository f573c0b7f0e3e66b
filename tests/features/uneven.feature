Feature: Servers of different and changing pace get work by their pace

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/pace.py.
    When the case "<case>" of "<group>" is played

    Examples: pace of servers
      | group | case |
      | pace | load headers with three or four figures are read |
      | pace | an unreadable pace is logged once and the load counts |
      | pace | a momentary pace expires |
      | pace | a wrong base pace is corrected within eight samples |
      | pace | a base pace belongs to an address |
      | pace | the time for a prompt counts the tokens before it |
      | pace | short prompts avoid engines with long ones but are not held |
      | pace | an engine whose first tokens are overdue is avoided |
      | pace | plain calls go to the server that takes them up soonest |
      | pace | peers share loads and paces over the wire |
      | pace | a load told late or by an older release changes no pace |
      | pace | targets without a pace or the setting are placed as before |
      | pace | first tokens come sooner in a fleet with uneven engines |
