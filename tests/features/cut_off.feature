Feature: A daemon that is cut off from backend servers serves its callers

  Scenario: Real processes, connections to servers hang
    When the case "daemons whose connections hang serve their callers" of "cut_off" is played

  Scenario: Real processes, connections to servers are reset
    When the case "daemons whose connections are reset serve their callers" of "cut_off" is played

  Scenario: Real processes, open connections to servers live on
    When the case "daemons whose open connections live on serve their callers" of "cut_off" is played

  Scenario: Real processes, answers of servers are lost
    When the case "daemons that hear no answers serve their callers" of "cut_off" is played

  Scenario: Real processes, all daemons but one are cut off
    When the case "all daemons but one are cut off and serve their callers" of "cut_off" is played

  Scenario: Real processes, a part of the servers is cut off
    When the case "daemons without a path to one service serve its callers" of "cut_off" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/paths.py.
    When the case "<case>" of "paths" is played

    Examples: decisions of the core
      | case |
      | a refused connection is no crash while others may reach a server |
      | a refused connection keeps the record of a cache |
      | reports of others do not restore this daemons path |
      | requests pass through another daemon where the own path is cut |
