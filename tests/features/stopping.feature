Feature: No request is cut around a planned stop

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/stopping.py states the failure that
    # it guards against.
    When the case "<case>" of "stopping" is played

    Examples: real processes
      | case |
      | connections that rest through a stop lose no request |
      | a request that a stop leaves no time for is not begun |
      | an answer that is read slowly outlives its daemons stop |
      | a request that waits as the time is up is answered |
      | a body under way as its daemon stops is answered |
      | a relayed attempt ends before its daemon does |
      | a stream that outlasts a stop does not look complete |
      | a short session of stops loses no request |

    Examples: parts of a stop
      | case |
      | a call that times out as it is cancelled ends |
