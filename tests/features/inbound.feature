Feature: Requests of one connection, and what connections hold

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/inbound.py states the failure that it
    # guards against.
    When the case "<case>" of "inbound" is played

    Examples: the account
      | case |
      | the most costly wait is ended first |
      | answered and unused connections are closed before others |
      | a client on a working link is not closed |
      | large amounts leave room for short requests |
      | a large amount waits for what is given back |
      | connections beyond the maximum are refused |
      | the room follows the machine |

    Examples: requests
      | case |
      | requests split anywhere are read |
      | what one request may have is served |
      | what exceeds a limit is refused |
      | a body in chunks of one byte is served |

    Examples: limits that change
      | case |
      | a kept connection follows raised limits |
      | a kept connection follows lowered limits |
      | a request that is arriving may have either limit |
      | a request behind another follows the limits |
      | kept connections follow a configuration |
