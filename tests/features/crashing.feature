Feature: A request that crashes three servers is not sent to a fourth

  Scenario: Real processes, one crash at each of three daemons
    When the case "a request that crashes servers is quarantined everywhere" of "crashing" is played

  Scenario: Real processes, a daemon that restarts after the crashes
    When the case "a restarted daemon learns of quarantines" of "crashing" is played

  Scenario: Real processes, calls of a plain service
    When the case "a call that crashes plain servers is quarantined" of "crashing" is played

  Scenario: Real processes, all daemons killed after the crashes
    When the case "a quarantine outlives a restart of the fleet" of "crashing" is played

  Scenario: Real processes, all servers end together under equal requests
    When the case "an outage of all servers refuses no popular request" of "crashing" is played

  Scenario: Real processes, an outage beside a request that crashes servers
    When the case "an outage hides no request that crashes servers" of "crashing" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/quarantines.py.
    When the case "<case>" of "<group>" is played

    Examples: decisions of the core
      | group | case |
      | quarantines | one crash at each of three daemons is enough |
      | quarantines | crash reports in any order lead to one quarantine |
      | quarantines | a lost answer is no crash |
      | quarantines | an end long after a broken connection is no crash |
      | quarantines | a server that leaves has not crashed |
      | quarantines | a third crash is not followed by a retry |
      | quarantines | a completed run clears a request that ran beside a crash |
      | quarantines | a run completed at any daemon lifts a quarantine |
      | quarantines | other requests are served while one is in quarantine |
      | quarantines | a quarantine stops attempts in progress |
      | quarantines | a quarantine refuses queued requests |
      | quarantines | a quarantine ends and a further crash doubles it |
      | quarantines | a server that stops responding to requests counts as crashed |
      | quarantines | each incarnation of one server counts |
      | quarantines | an older completed run does not replace a newer one |
      | quarantines | an exchange makes up for lost crash reports |
      | quarantines | crashes remembered are bounded |
      | quarantines | an attempt that was never sent is not blamed |
      | quarantines | servers that end together refuse a request for seconds |
      | quarantines | one run at a time follows a quarantine |
      | quarantines | a run that may have crashed delays the next one |
      | quarantines | a trial that ends its server confirms a quarantine |
      | quarantines | crashes one after the other leave no trial |
      | quarantines | runs sent after a crash are blamed at once |
      | quarantines | the longest run tells what ended together |
      | quarantines | silences that overlap count as one end |
      | quarantines | a server of unknown silence may have ended before |
      | crash_rows | a row of an older daemon leaves a trial |
      | crash_rows | unreadable rows are skipped |
      | crash_rows | a call to an unavailable store is retried |
      | crash_rows | a quarantine that was lifted stays so |
      | crash_rows | a quarantine that another daemon lifted stays so |
      | crash_rows | crashes before a quarantine outlive the daemons |
      | crash_rows | a completed run clears crashes before a quarantine |
      | crash_rows | expired crashes are not read |
      | crash_rows | daemons without crashes make no store call |
      | crash_rows | a part stays in quarantine over a restart of all daemons |
