Feature: Backend servers whose answers have no end

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/endless.py states the failure that it
    # guards against.
    When the case "<case>" of "endless" is played

    Examples: real processes
      | case |
      | a daemon stays small beside each kind of endless answer |
      | a daemon stays small beside endless reports |
      | daemons outlast servers of which half are endless |
      | an endless answer through another daemon ejects its server |

    Examples: connections
      | case |
      | valid answers up to the limits are whole |
      | a long stream is whole |
      | an answer too large for memory is kept without a disk |
      | clients of our own interface and the store have the limits |
