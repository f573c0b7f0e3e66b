Feature: Authentication and authorization

  Scenario: Unauthorized calls to each interface
    # Symptom: somebody without a token reads a prompt, changes a limit or
    #   sends false peer updates.
    # Sequence: calls arrive without a token or with somebody else's; a peer
    #   connects without the cluster's secret.
    # Cause: an interface does not check who calls.
    Given a cluster of 1 daemons and 1 engines
    Then a generation without a token gets 401
    And a generation with an operator's token gets 401
    And a /v1/where request for another workspace gets 403
    And each operator call with a workspace's token gets 401
    And a peer without the secret is refused
    And a datagram without the secret gets no answer, one with it does
    And the log contains no token

  Scenario: A caller can't set the headers that select cached state
    # Symptom: a workspace reads another's cache.
    # Sequence: a caller sends the headers that the daemon sends to engines.
    # Cause: the caller's headers are forwarded unfiltered.
    Given a cluster of 1 daemons and 1 engines
    When a generation with forged state headers is sent
    Then the engine received only the daemon's state headers, once each

  Scenario: A line break in a caller's id
    Then a log line quotes line breaks
