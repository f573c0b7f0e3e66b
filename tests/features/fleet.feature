Feature: A fleet that loses messages, links and daemons

  Scenario Outline: A lost daemon is detected by all others
    # Symptom: `where` returns a daemon that is gone, for most of a minute.
    # Sequence: one of <daemons> daemons <fault>.
    # Cause: a member that failed a probe is probed again only in its turn.
    Given a fleet of <daemons> daemons on virtual time
    When one of its daemons <fault>
    Then no other daemon counts it as live after 6 s

    Examples:
      | daemons | fault            |
      | 9       | is killed        |
      | 40      | is killed        |
      | 120     | is paused        |
      | 40      | receives nothing |

  Scenario: A partition of the fleet heals
    # Symptom: after the link between two sites was down for an hour, each site
    #   stays separate for another minute.
    # Sequence: a fifth of the fleet is cut off for 30 s.
    # Cause: no daemon is notified that others count it as dead.
    Given a fleet of 40 daemons on virtual time
    When 8 daemons are cut off from the others for 30 s
    Then every daemon counts every other as live after 5 s

  Scenario: The instance list is read by three daemons
    # Symptom: a daemon sends work to a server that has left, or to none.
    # Sequence: servers come and go while updates are lost, readers die, a
    #   daemon is cut off from its peers, and the platform is down for a while.
    # Cause: daemons assume that no update of the list is lost and that no
    #   reader dies.
    Given a fleet of 40 daemons on virtual time
    When servers come and go while updates are lost, readers die and links are cut
    Then every daemon has the platform's list
    And the list was read fewer than 1000 times in 180 s

  Scenario Outline: A leaving server is known to all within 3 s
    # Symptom: an engine that is about to stop still gets prompts.
    # Sequence: one of 20 engines is marked as leaving in <source>; only the
    #   daemons that read this source see it.
    # Cause: the mark is sent only to the daemons of its model, or only with
    #   the next probe.
    Given a fleet of <daemons> daemons on virtual time
    When one of its servers is marked as leaving in <source>
    Then every daemon counts it as leaving after 3 s

    Examples:
      | daemons | source              |
      | 9       | its load report     |
      | 9       | the platform's list |
      | 40      | its load report     |
      | 40      | the platform's list |

  Scenario: A workspace's demand is sent to the daemons that share its limit
    # Symptom: a limit of 100 lets 150 through, or only 30.
    # Sequence: a workspace's callers use its three daemons, and one caller uses
    #   a fourth daemon.
    # Cause: demand is sent to all daemons, or to the three only.
    Given a fleet of 40 daemons on virtual time
    When workspace "desk" sends more than its limit of 100 through its three daemons and a fourth
    Then these admit 90 to 125 before they receive each other's demand
    And the shares of the four add up to at most 100 and to at least 95
    And no other daemon received the demand

  Scenario: Assignments are spread evenly
    # Symptom: one daemon of 340 uses twice the processor time of the others.
    # Sequence: 340 daemons, 15 models; daemons and models come and go.
    # Cause: each model selects its daemons by itself, and five models select
    #   some of the same daemons.
    Then of 340 daemons each serves 1 of 15 models, and each model has 12 or more
    And removing a daemon reassigns no other
