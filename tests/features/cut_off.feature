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

  Scenario: Real processes, a short session of cuts and faults that overlap
    When the case "a short session of cuts keeps all promises" of "cut_off" is played

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
      | a daemon that declines to pass on costs nothing |
      | a call that broke behind a relay may have run |
      | a broken relay is no crash of a server |
      | a crash counts once no daemon finds the server alive |
      | daemons that are cut off themselves are not believed |
      | an undecided end is asked about again |
      | one daemon that finds a server alive outweighs all others |
      | a process that restarts at once counts as ended |
      | a named incarnation that answers has not restarted |
      | a broken probe is no lost path |
      | all daemons are asked while those asked are cut off |
      | an open connection does not restore a path |
      | a restored path to a live server carries all requests at once |
      | a lost path is probed twice a second while its server lives |
      | a daemon that is cut off makes no other doubt a server |
      | a daemon without a path passes nothing on |
      | daemons of the own domain are used while most of them reach it |
      | a silent relay is left for another |
      | a relay that is lost passes nothing on to any server |
      | a lone daemon believes its own path |
      | connections of a lost path are not used after it heals |

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/relaying.py.
    When the case "<case>" of "relaying" is played

    Examples: attempts through another daemon
      | case |
      | an answer passes a relay byte for byte |
      | a long body passes a relay |
      | pieces of a stream pass a relay as they come |
      | a stream is resumed through a relay |
      | a server stops working once the sender has gone |
      | a slow sender is given a bounded number of pieces |
      | a relay that dies leaves the outcome open |
      | a relay without a path declines at once |
      | a relay sends nothing to a server that wants rest |
      | a relay passes on nothing that it has in quarantine |
      | any live server shows that a daemon is not cut off |
      | two attempts do not share a place of a relay |
      | an entry removed meanwhile leaves a relay idle |
      | what a server says reaches sender and relay |
      | a relay is handed the time that is left |
      | an attempt without time left is not sent |
      | a daemon of an earlier release declines |
      | a process without the secret passes nothing on |
      | an unreadable call is refused |
      | a daemon tells whether it reaches a server |
      | messages of unknown kinds end an attempt as open |
