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

  Scenario: Large fleets under load, with all of that and engines that go dark
    # Requests ran on replaced weights for longer than allowed on a fleet of 56
    #   engines under load, which loaded one at a time: 18 of them still had the
    #   old ones after 31 s. The sessions above, with five engines and no load,
    #   were as good with one at a time. These have 20 to 60 engines, requests
    #   that wait at them for most of the time, loads of 0.5 to 3 s and namings
    #   within seconds. Each of 12 seeds shows it on the code of then: engines
    #   are on replaced weights for 14 to 27 s without trouble.
    When 10 seeded sessions of large fleets and session 16 are played
    Then in 10 s without trouble every engine has replaced weights replaced
    And in 14 s without trouble nine in ten engines have the last weights
    And no engine was ordered by two leads within a lease
    And no request was sent to an engine that loads
    And never more engines loaded than the store bears
    And after 30 quiet seconds every engine has the last weights

  Scenario: An engine starts again between its drain and its order
    # A request is sent to an engine that has begun to load; it declines it.
    #   e22 is drained at 1003.13 s, starts again under its id at 1003.18 and is
    #   ordered at 1003.23, while the lead has not heard of the start. At 1003.30
    #   all daemons hear of it and drop the drain, which was the process's
    #   before; a request goes there at 1003.35, and the drain is told anew at
    #   1003.44.
    When session 70 of large fleets is played
    Then no request was sent to an engine that loads

  Scenario: A session in which too many engines load at one time
    # Guards against loads that slow each other down at the store of weights.
    When session 203 of large fleets is played
    Then never more engines loaded than the store bears

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
