Feature: Decisions use state that is recent enough for them

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/confirming.py.
    When the case "<case>" of "confirming" is played

    Examples: final refusals
      | case |
      | an unknown path is refused for good once confirmed |
      | a path that was added meanwhile is served |
      | an unknown key waits for a confirmation |
      | without a confirmation the caller may return |
      | a wait ends without an answer to the read |
      | a wait does not outlast its route |
      | unknown paths share one read |
      | waiting requests are bounded |
      | a waiting caller that leaves is forgotten |
      | a stop refuses waiting requests |
      | the time of a wait counts for the caller |
      | a routes table may be older than what refuses |
