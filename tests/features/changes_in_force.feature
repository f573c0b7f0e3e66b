Feature: A change of the configuration is in force within its bound

  Scenario: Real processes, a route added without a fault
    When the case "a route added without a fault is served in time" of "changes_in_force" is played

  Scenario: Real processes, a route added as the readers end
    When the case "a route added as the readers end is served in time" of "changes_in_force" is played

  Scenario: Real processes, a route added while the feed is silent is served within its bound
    When the case "a route added while the feed is silent is served in time" of "changes_in_force" is played

  Scenario: Real processes, a route added before lost history and late reads is never refused for good
    When the case "late reads after lost history refuse no added route" of "changes_in_force" is played

  Scenario: Real processes, a change that the feed names and leaves out
    When the case "a change that the feed names and leaves out is in force in time" of "changes_in_force" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/feed_follower.py and tests/cases/fetching.py.
    When the case "<case>" of "<group>" is played

    Examples: evidence from the store and from peers
      | group         | case |
      | feed_follower | lost history is followed by a read at once |
      | feed_follower | history lost again is a failure |
      | feed_follower | a snapshot after lost history confirms nothing yet |
      | feed_follower | an answer older than a peer's version confirms nothing |
      | feed_follower | a passed version without its rows leads to a snapshot |
      | feed_follower | pages of different versions make no newest table |
      | fetching      | a silent peer holds up no fetch from another |
      | fetching      | a large configuration is read over a slow link |

    Examples: changes that the feed keeps to itself
      | group          | case |
      | passed_changes | a held call does not prove that nothing was left out |
      | passed_changes | history lost beside a read is read again |
      | passed_changes | no order of calls confirms rows without a change |
