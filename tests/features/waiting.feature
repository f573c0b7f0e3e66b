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

    Examples: order by target latency
      | group | case |
      | urgent | requests that can be in time come first |
      | urgent | a late request is not passed over for long |
      | urgent | shares take precedence over urgency |
      | urgent | a workspace counts with the demand of the fleet |
      | urgent | the workspace beyond its share is refused |
      | urgent | a full queue takes requests within their share |
      | urgent | hopeless requests are refused before their deadline |
      | urgent | the order is kept by default |

    Examples: times of return
      | group | case |
      | urgent | callers return one after the other |
      | urgent | nobody is told later than callers honour |
      | urgent | refused for capacity return one after the other |
