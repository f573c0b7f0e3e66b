Feature: Requests are queued only if they can be served in time

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/waiting.py.
    When the case "<case>" of "<group>" is played

    Examples: lasting load
      | group | case |
      | waiting | requests beyond capacity are refused at once |
      | waiting | a stream is refused if its caller would leave before it starts |
      | waiting | a queue that was empty for long is no sign of slow servers |
