@promise_graceful_stop
Feature: No planned stop cuts a request in flight

  Scenario: All daemons replaced one after another under load
    # Symptom: at each deployment some callers see broken streams or refused
    #   connections.
    # Sequence: callers request an address, keep it for the time given, and
    #   stream and submit all the time; each daemon in turn gets SIGTERM, ends
    #   by itself, and a new one replaces it.
    # Cause: a daemon stops listening while callers still use its address, or
    #   ends while it has requests.
    Given a cluster of 3 daemons, 2 engines and a plain service
    When all daemons are replaced one after another under steady load
    Then no request was cut and no connection refused
    And every submission ran once
    And every daemon ended by itself with exit code 0

  Scenario: A backend server shut down gracefully under load
    # Symptom: streams break when an engine is taken out for maintenance.
    # Sequence: an engine reports that it is leaving, finishes its requests,
    #   refuses new ones, and ends.
    # Cause: new work is sent to a leaving engine, or its refusal is passed on
    #   to the caller.
    Given a cluster of 2 daemons, 2 engines and a plain service
    When engine 1 shuts down gracefully under steady load
    Then no request was cut and no connection refused

  Scenario: A daemon stopped while a submission waits for its answer
    # Symptom: a submission's outcome is unknown after a deployment.
    # Sequence: a slow submission runs; the daemon gets SIGTERM; the answer
    #   arrives later.
    # Cause: the daemon waits for its streams to end, but not for its calls.
    Given a cluster of 2 daemons, 2 engines and a plain service
    When the service takes 2500 ms for each call
    And key "claim-31" is sent through daemon 1, which gets SIGTERM during the call
    Then the answer has status 200
    And the service ran key "claim-31" 1 times

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against.
    When the case "<case>" of "<group>" is played

    Examples: connections that callers keep open
      | group    | case |
      | own_stop | a stop ends while callers keep sending |
      | own_stop | an answer read slowly outlives the stop |
      | own_stop | a caller that stops reading does not delay the stop |
      | own_stop | requests left when the patience ends are answered |
      | own_stop | a body that arrives during the stop is answered |
      | own_stop | connections without a request do not delay the stop |
