Feature: Streams taken up at a daemon that was out of step during a release

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against.
    When the case "<case>" of "out_of_step" is played

    Examples: real processes
      | case |
      | no stream is mixed by a daemon cut off from all |
      | no stream is mixed by a daemon cut off as old servers leave |
      | no stream is mixed as a cut heals |
      | no stream is mixed by a daemon cut off from the store |
      | no stream is mixed by a daemon that stood still |
      | no stream is mixed by a daemon cut off after a pause |
