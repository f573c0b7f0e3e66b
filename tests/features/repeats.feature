Feature: Repeats stay within what is allowed, over all daemons

  Scenario: Real processes, a daemon that was held up
    When the case "a daemon that was held up hands on what is left" of "repeating" is played

  Scenario: Real processes, a daemon that is on time
    When the case "a daemon that is on time takes nothing off" of "repeating" is played

  Scenario: Real processes, restarts of all daemons in series
    When the case "daemons that start again in series repeat within their bound" of "repeating" is played

  Scenario: Real processes, a short session of faults that overlap
    When the case "a short session keeps repeats within their bounds" of "repeating" is played

  Scenario: Restarts of a fleet in series
    When the case "restarts in series grant no further bursts" of "repeats" is played

  Scenario: Daemons that know nobody yet
    When the case "daemons that start alone own no whole burst" of "repeats" is played

  Scenario: Joins, cuts and replacements
    When the case "daemons that join part and are replaced keep to the budget" of "repeats" is played

  Scenario: A stream that stops again and again
    When the case "a stream that stops again and again runs on two servers" of "repeats" is played

  Scenario: A call without an answer
    When the case "a call without an answer runs on two servers" of "repeats" is played

  Scenario: A server that ends again under its name
    When the case "a server that ends again under its name counts again" of "repeats" is played

  Scenario: One crash seen by many daemons
    When the case "one crash seen by many daemons counts once" of "repeats" is played

  Scenario: A crash heard of before it is seen
    When the case "a crash heard of before it is seen counts once" of "repeats" is played
