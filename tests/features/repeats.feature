Feature: Repeats by all daemons together stay within their bounds

  Scenario: Real processes, a suspended daemon
    When the case "a suspended daemon passes on the time that is left" of "repeating" is played

  Scenario: Real processes, a daemon without delay
    When the case "a daemon without delay passes on the whole time" of "repeating" is played

  Scenario: Real processes, restarts of all daemons in series
    When the case "daemons that restart in series repeat within their bound" of "repeating" is played

  Scenario: Real processes, a short session of faults that overlap
    When the case "a short session keeps repeats within their bounds" of "repeating" is played

  Scenario: Restarts of a fleet in series
    When the case "restarts in series grant no further bursts" of "repeats" is played

  Scenario: Daemons that know no peer yet
    When the case "daemons that start alone get no whole burst" of "repeats" is played

  Scenario: Joins, partitions and replacements
    When the case "daemons that join partition and are replaced keep to the budget" of "repeats" is played

  Scenario: A stream that stops again and again
    When the case "a stream that stops again and again runs on two servers" of "repeats" is played

  Scenario: A call without an answer
    When the case "a call without an answer runs on two servers" of "repeats" is played

  Scenario: A server that crashes again under its id
    When the case "a server that crashes again under its id counts again" of "repeats" is played

  Scenario: One crash seen by many daemons
    When the case "one crash seen by many daemons counts once" of "repeats" is played

  Scenario: A crash reported by a peer before it is seen
    When the case "a crash reported by a peer before it is seen counts once" of "repeats" is played
