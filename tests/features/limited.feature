Feature: A server in need gets no more than it takes from all daemons

  Scenario: Real processes, an engine that names a limit
    When the case "a limit of an engine holds over all daemons" of "limited" is played

  Scenario: Real processes, a plain server that names a limit
    When the case "a limit of a plain server holds over all daemons" of "limited" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/rate_limits.py.
    When the case "<case>" of "<group>" is played

    Examples: decisions of the core
      | group | case |
      | rate_limits | all daemons together keep to a limit |
      | rate_limits | a limit is used where there is load |
      | rate_limits | what is over the limit goes elsewhere |
      | rate_limits | with limits everywhere callers hear when to come back |
      | rate_limits | a retry counts against the limit |
      | rate_limits | a daemon that heard of a limit keeps to it |
      | rate_limits | the newest word of a server counts |
      | rate_limits | a limit ends with the start that named it |
      | rate_limits | a limit is told again while it holds |
      | rate_limits | daemons that carry nothing hold no part |
      | rate_limits | a daemon that has met nobody holds no part |
      | rate_limits | limits that cannot be read change nothing |
