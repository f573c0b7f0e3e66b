Feature: A request that crashes servers is sent to no fourth one

  Scenario: Real processes, one crash at each of three daemons
    When the case "a request that crashes servers is quarantined everywhere" of "crashing" is played

  Scenario: Real processes, a daemon that starts after the crashes
    When the case "a daemon that starts anew learns of quarantines" of "crashing" is played

  Scenario: Real processes, a call of a plain service
    When the case "a call that crashes plain servers is quarantined" of "crashing" is played
