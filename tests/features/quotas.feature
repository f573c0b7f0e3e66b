Feature: All daemons together keep to the quota of a workspace

  Scenario: Real processes
    When the case "real daemons keep to a quota" of "quotas" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/quotas.py.
    When the case "<case>" of "quotas" is played

    Examples: fleets on virtual time
      | case |
      | a quota holds over all daemons |
      | a quota is used wherever requests come |
      | nothing is refused below a quota |
      | large requests pass below a quota |
      | restarts give no further burst |
      | daemons out of contact keep to a quota |
      | late reports are counted once |
      | a lowered quota holds after a window |
      | a quota holds over hundreds of daemons |
      | daemons cut off one by one do not overdraw |
      | a quota holds while its spare part is used |
      | a quota holds while its window is used |
      | a burst within the window is admitted |
      | a window is closed while requests wait |
      | a full window states when it has room |

    Examples: decisions of one daemon
      | case |
      | the spare part serves small requests |
      | the spare part is closed without contact |
      | a daemon cut off admits what its refill has paid |
      | small requests do not starve large ones |
      | a request beyond its quota gets a true retry time |
      | a refusal is logged with its inputs |
      | requests that do not run return their tokens |
      | a second run counts again |
      | a request larger than the quota is refused for good |
      | requests without a count use the stated tokens |
      | a quota of zero is none |
      | a quota that was removed ends |
      | a restarted peer is counted anew |
      | a newcomer takes over the level of others |
      | buckets that are not in use are forgotten |
      | little is reported far below a quota |
      | reports survive the wire |
      | tables without quotas are stored as before |
      | quotas in a table are checked |
      | the operators quotas are read |
      | counts that cannot be read are not free |
