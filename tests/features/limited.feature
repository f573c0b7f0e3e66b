Feature: All daemons together keep to the rate limit of a server

  Scenario: Real processes, an engine that advertises a limit
    When the case "a limit of an engine holds over all daemons" of "limited" is played

  Scenario: Real processes, a plain server that advertises a limit
    When the case "a limit of a plain server holds over all daemons" of "limited" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/rate_limits.py.
    When the case "<case>" of "<group>" is played

    Examples: decisions of the core
      | group | case |
      | rate_limits | all daemons together keep to a limit |
      | rate_limits | a limit is used where there is load |
      | rate_limits | requests over the limit go elsewhere |
      | rate_limits | with limits everywhere callers get a retry time |
      | rate_limits | a retry counts against the limit |
      | rate_limits | a daemon keeps to a limit received from a peer |
      | rate_limits | the newest limit of a server counts |
      | rate_limits | a limit ends with the incarnation that advertised it |
      | rate_limits | a limit is announced again while it holds |
      | rate_limits | daemons that serve no callers have no share |
      | rate_limits | a daemon that has met no peer has no share |
      | rate_limits | limits that cannot be read change nothing |
