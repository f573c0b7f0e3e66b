Feature: A request that crashes servers is sent to no fourth one

  Scenario: Real processes, one crash at each of three daemons
    When the case "a request that crashes servers is quarantined everywhere" of "crashing" is played

  Scenario: Real processes, a daemon that starts after the crashes
    When the case "a daemon that starts anew learns of quarantines" of "crashing" is played

  Scenario: Real processes, a call of a plain service
    When the case "a call that crashes plain servers is quarantined" of "crashing" is played

  Scenario: Real processes, all daemons killed after the crashes
    When the case "a quarantine outlives a restart of the fleet" of "crashing" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/quarantines.py.
    When the case "<case>" of "<group>" is played

    Examples: decisions of the core
      | group | case |
      | quarantines | one crash at each of three daemons is enough |
      | quarantines | news of crashes in any order leads to one quarantine |
      | quarantines | a lost answer is no crash |
      | quarantines | an end long after a broken connection is no crash |
      | quarantines | a server that leaves has not crashed |
      | quarantines | a third crash is not followed by a retry of ours |
      | quarantines | a run that ends clears what ran beside a crash |
      | quarantines | a run that ends at any daemon lifts a quarantine |
      | quarantines | others are served while one request is in quarantine |
      | quarantines | what runs elsewhere is stopped by a quarantine |
      | quarantines | what waits is refused by a quarantine |
      | quarantines | a quarantine ends and a further crash doubles it |
      | quarantines | a server that falls silent under requests counts |
      | quarantines | starts of one server count each |
      | quarantines | an older completed run takes back no newer one |
      | quarantines | news that is lost is made up for |
      | quarantines | crashes remembered are bounded |
      | crash_rows | unreadable rows are skipped |
      | crash_rows | a call to an unavailable store is retried |
      | crash_rows | a quarantine that was lifted stays so |
      | crash_rows | a quarantine that another daemon lifted stays so |
      | crash_rows | crashes before a quarantine outlive the daemons |
      | crash_rows | a completed run clears crashes before a quarantine |
      | crash_rows | expired crashes are not read |
      | crash_rows | daemons without crashes make no store call |
