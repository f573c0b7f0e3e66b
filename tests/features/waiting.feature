Feature: Requests are held back only where their turn comes in time

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/waiting.py.
    When the case "<case>" of "<group>" is played

    Examples: load that lasts
      | group | case |
      | waiting | what a lasting overload leaves no room for is refused at once |
      | waiting | a stream is refused where its caller would leave before it begins |
      | waiting | a queue that was empty for long is no sign of slow servers |
