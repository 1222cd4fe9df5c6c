Feature: An upstream that falls silent for a second or so keeps its callers' answers

  Scenario Outline: A stream isn't cut because its upstream is silent and no other can take it over
    Given a gateway with two upstreams
    And the first attempt is silent for <silence> s within the stream, and each further one meets <fault>
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

    Examples:
      | silence | fault          |
      | 1.1     | none           |
      | 1.1     | full           |
      | 1.1     | failure        |
      | 1.1     | break          |
      | 1.1     | break_in_event |
      | 1.1     | crossed        |
      | 1.5     | silent_first   |
      | 1.5     | full           |
      | 1.5     | failure        |
      | 1.5     | break          |

  Scenario Outline: A request isn't failed because its upstream's first event is late and no other can take it over
    Given a gateway with two upstreams
    And the first attempt is silent for <silence> s before its answer, and each further one meets <fault>
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

    Examples:
      | silence | fault   |
      | 3.3     | full    |
      | 3.3     | failure |
      | 3.3     | break   |

  Scenario Outline: A stream whose upstream never goes on is resumed at one that <fault> once
    Given a gateway with two upstreams
    And the first attempt hangs <place>, the second one meets <fault>, and all others are sound
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

    Examples:
      | place             | fault   |
      | within the stream | full    |
      | within the stream | failure |
      | within the stream | break   |

  Scenario Outline: A request whose upstream never answers is answered by one that <fault> once
    Given a gateway with two upstreams
    And the first attempt hangs <place>, the second one meets <fault>, and all others are sound
    When a caller opens a stream at /stream/1
    Then the caller gets <status> within 5 s

    Examples:
      | place             | fault        | status |
      | before its answer | full         | 200    |
      | before its answer | failure      | 200    |
      | before its answer | client_error | 409    |

  Scenario: A stream that its caller doesn't read doesn't keep its upstream from taking over another one
    Given a gateway with two upstreams
    And an upstream with a stream that has had no event for 30 s
    When a stream of the other upstream falls silent for good
    Then that upstream takes the stream over

  Scenario Outline: A ready answer isn't given up for a larger model's that no upstream gives
    Given a gateway with two upstreams
    And the smaller model's confidence is 20
    And the first attempt is sound, and each further one meets <fault>
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6 from the model small

    Examples:
      | fault   |
      | full    |
      | failure |
      | break   |
      | crossed |

  Scenario Outline: A stream isn't lost because the upgrade ends that it began before
    Given a gateway with two upstreams
    And upstream two has the new version of an upgrade that is running
    When an upgrade is <state> within a stream of upstream <first>, which then stops
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

    Examples:
      | state    | first |
      | complete | one   |
      | reverted | two   |
