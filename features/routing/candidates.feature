Feature: Only open upstreams are candidates, and each placement is checked

  Scenario Outline: An upstream is excluded or fails the placement check
    Given 6 upstreams of which u0 alone is in its failure domain
    When the state is changed so that <change>
    Then u0 is <listed> as a candidate and the placement check for it reports <violation>

    Examples:
      | change                                     | listed     | violation         |
      | nothing changes                            | listed     | nothing           |
      | a notice takes the domain out of service   | not listed | domain d/a is out |
      | a revision takes the domain out of service | not listed | domain d/a is out |
      | u0 is leaving                              | not listed | leaving           |
      | u0 is draining                             | not listed | draining          |
      | u0 is down                                 | not listed | down              |
      | a notice withdraws v1                      | not listed | withdrawn         |
      | a revision withdraws v1                    | not listed | withdrawn         |
      | the customer may not use v1                | not listed | not allowed       |
      | u0 no longer serves v1                     | not listed | does not serve    |
      | u0 is not in the entry's subset            | not listed | nothing           |
      | the request avoids u0                      | not listed | nothing           |
      | the request already runs on u0             | not listed | nothing           |
      | the request avoids all but u0              | listed     | nothing           |
      | the request avoids all upstreams           | listed     | nothing           |
      | the session is pinned to v2                | listed     | session is pinned |
      | the session is pinned to v1                | listed     | nothing           |
      | the request's digest is banned             | listed     | banned            |
      | the request's deadline has passed          | listed     | deadline          |
      | the request is for a plain service         | listed     | nothing           |
      | the request is for an unknown service      | not listed | does not serve    |

  Scenario Outline: Failing upstreams are ejected, but never more than half
    Given 6 upstreams of which <n> failed <k> times in a row <ago> s ago
    Then <n_listed> are listed as candidates

    Examples:
      | n | k  | ago | n_listed |
      | 1 | 2  | 0   | 6        |
      | 1 | 3  | 0   | 5        |
      | 1 | 3  | 0.4 | 5        |
      | 1 | 3  | 0.6 | 6        |
      | 1 | 5  | 1.9 | 5        |
      | 1 | 5  | 2.1 | 6        |
      | 1 | 40 | 29  | 5        |
      | 1 | 40 | 31  | 6        |
      | 3 | 9  | 0   | 3        |
      | 5 | 9  | 0   | 3        |
      | 6 | 9  | 0   | 3        |

  Scenario: After its ejection an upstream is probed by one attempt at a time
    Given 6 upstreams of which 1 failed 3 times in a row 0.6 s ago
    When an attempt starts on u0
    Then 5 are listed as candidates
    When that attempt is answered
    Then 6 are listed as candidates

  Scenario: A single crash ejects an upstream immediately
    Given 6 upstreams of which 0 failed 0 times in a row 0 s ago
    When u0 crashes
    Then 5 are listed as candidates
