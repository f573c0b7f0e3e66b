Feature: Weights are rolled out by one lead at a time

  Scenario: Pauses, cuts, outages and lost replies during roll-outs
    # Symptom: streams are cut, the weight store is overrun, or replicas stay
    #   on old weights for ever.
    # Sequence: three daemons may lead a model; they are paused, or cut from
    #   the table service, at random moments; it is down, loses replies or
    #   carries writes out late; replicas start again under their ids and carry
    #   orders out late; weights are named again meanwhile.
    # Cause: a right to order judged by another's clock, or an order without a
    #   drain.
    When 60 seeded sessions of three leads are played
    Then no replica was ordered by two leads within a lease
    And no request was cut and never more than two replicas loaded
    And every replica has the last version wanted

  Scenario: The holder is turned away when weights are named
    # Symptom: servers grow too old for use; callers are refused for seconds.
    # Sequence: one daemon has rolled weights out; the table service turns it
    #   away; weights are named.
    # Cause: the next in rank waits for the holder's lease to lapse, and then
    #   for another lease before its first order.
    When the holder is cut from the table service and weights are named
    Then all replicas have them within 4 seconds

  Scenario: Real processes, weights rolled out under load
    # Symptom: answers break while a new version is put in force.
    # Sequence: callers stream and submit; an operator sets weights_version;
    #   the lead is killed in the middle.
    # Cause: an order to a server with streams, or progress known to one only.
    Given a cluster of 3 daemons, 4 engines and a plain service
    When weights version "2" is set under steady load and the lead is killed
    Then every engine runs version "2", ordered once or anew by the next lead
    And no request was cut but those through the killed daemon
