Feature: Servers that bear few rejections are not overloaded

  Scenario: Real processes, brittle servers under load
    When the case "brittle servers of real daemons do not fall over" of "brittle" is played

  Scenario: Real processes, a short session of brittle servers and faults
    When the case "a short session leaves brittle servers standing" of "brittle" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/brittle.py.
    When the case "<case>" of "brittle" is played

    Examples: places and announcements
      | case |
      | the shares of all daemons add up to the whole |
      | a daemon that counts more daemons takes no more |
      | nine daemons that see one place do not all use it |
      | servers that bear twenty rejections get no more |
      | a large fleet shares the places of a few servers |
      | places that a daemon does not use serve the others |
      | daemons that restart in series overload no server |
      | a daemon that has just started takes no place |
      | a lost daemon keeps its places for a while |
      | nothing is sent to a brittle server where requests wait |
      | a request waits here for a place |
      | a server that rejected a request gets none for a while |
      | all servers of a target are brittle together |
      | a restarted server is not brittle by what its predecessor said |
      | older news does not take back what a server said |
      | a fall of a brittle server is no crash of its requests |
      | other daemons learn that a server is brittle |
      | each form of the header is read |
      | a value that cannot be read leaves the last one |
