Feature: Who may do what

  Scenario: Strangers at each door
    # Symptom: somebody without a token reads a prompt, changes a limit or
    #   feeds false news.
    # Sequence: calls without or with another's token; a peer without the
    #   cluster's secret.
    # Cause: a door without a check.
    Given a cluster of 1 daemons and 1 engines
    Then a generation without a token gets 401
    And a generation with an operator's token gets 401
    And where with another workspace's name gets 403
    And each operator call with a workspace's token gets 401
    And a peer without the secret is refused
    And a datagram without the secret gets no answer, with it one
    And the log holds no token

  Scenario: A caller can't set what says whose state is used
    # Symptom: a workspace reads another's cache.
    # Sequence: a caller sends the headers that the daemon sends to engines.
    # Cause: headers passed on as they come.
    Given a cluster of 1 daemons and 1 engines
    When a generation with smuggled state headers is sent
    Then the engine saw the daemon's own state headers once each

  Scenario: A line break in a caller's id
    Then a log line quotes line breaks
