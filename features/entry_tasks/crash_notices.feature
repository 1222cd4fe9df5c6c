Feature: What entries tell each other of requests that crash upstreams

  Scenario: Crashes that different entries have seen add up
    Given 3 entries that send each other notices
    When entry 1 sees a crash of "x" on "u0" and entry 2 one on "u1"
    Then each entry refuses "x"

  Scenario: One crash that two entries have seen counts once
    Given 3 entries that send each other notices
    When entry 1 sees a crash of "x" on "u0" and entry 2 one on "u0"
    Then no entry refuses "x"

  Scenario: An entry that starts later learns of a refused request though many others were lost since
    Given 2 entries that send each other notices
    And "x" has crashed two upstreams
    When 3000 other requests are lost in crashes and a further entry fetches the notices
    Then each entry refuses "x"

  Scenario: Requests that are lost in crashes don't displace one that is refused
    Given 1 entries that send each other notices
    And "x" has crashed two upstreams
    When 12000 other requests are lost in crashes
    Then each entry refuses "x"

  Scenario: A notice whose crashes were changed on the way is dropped
    Given 2 entries that send each other notices
    When entry 2 gets a notice of entry 1 with one more crash of "x" than was signed
    Then no entry refuses "x"
