Feature: A server in need gets no more than it takes from all daemons

  Scenario: Real processes, an engine that names a limit
    When the case "a limit of an engine holds over all daemons" of "limited" is played

  Scenario: Real processes, a plain server that names a limit
    When the case "a limit of a plain server holds over all daemons" of "limited" is played
