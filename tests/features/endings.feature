Feature: What is under way outlasts the end of a daemon, a row or a connection

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/endings.py states the failure that it
    # guards against.
    When the case "<case>" of "endings" is played

    Examples: changes of the table
      | case |
      | a request survives the removal of its model |
      | requests survive the removal of their routes |

    Examples: signals
      | case |
      | a reload while a daemon starts does not end it |
      | further signals change nothing about a stop |

    Examples: attempts that pass another daemon
      | case |
      | a relayed attempt ends once its answer is written |
      | calls that cross the end of a daemon have not run |

    Examples: listening sockets
      | case |
      | a listener that closes serves the connections it has |

    Examples: connections to servers
      | case |
      | a connection that its server will close is not reused |
