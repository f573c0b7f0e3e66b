Feature: Operators compare expected with observed waits

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/waits.py.
    When the case "<case>" of "waits" is played

    Examples: logs
      | case |
      | waits are compared in all by window and by server |
      | only answered prompts with one attempt count |
      | who waits is listed with refusals by reason |
      | unreadable lines are counted |
      | the oldest requests are dropped beyond the limit |
      | the logs of several daemons are merged by time |
      | the tables are printed as text and csv |
      | lines of the core have the fields that are read |
