Feature: Backend servers whose answers have no end

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/endless.py states the failure that it
    # guards against.
    When the case "<case>" of "endless" is played

    Examples: real processes
      | case |
      | a daemon stays small beside each kind of endless answer |
