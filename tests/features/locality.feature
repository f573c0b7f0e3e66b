Feature: Requests stay in their failure domain and on open connections

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/locality.py.
    When the case "<case>" of "locality" is played

    Examples: placement
      | case |
      | nothing changes without the settings or a pace |
      | a prompt leaves its domain only for a longer wait |
      | a plain call leaves its domain only for a longer queue |
      | a prompt has one home for all domains |
      | candidates include one engine of each other domain |
      | without engines in its domain a daemon uses the others |
      | a part that another domain has is copied |
      | preferred engines are shared out evenly |
      | preferred engines change little with the fleet |
      | an engine outside the subset is used for a longer wait |
      | an idle connection is preferred until it expires |
      | no connection beyond the share while others are as good |
      | most requests reuse a connection |
      | only repeatable requests use an expiring connection |
      | counts of idle connections are replayed |
