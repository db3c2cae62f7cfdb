//! Requests, and parts of prompts, that crash their endpoints.

use cumin_entry::selection::Part;
use cumin_entry::suspects::{Admission, CRASH_LIMIT, Fingerprint, Suspect, Suspects, Suspicion};
use cumin_types::Millis;

/// Returns a request without a prompt.
fn plain(fingerprint: Fingerprint) -> Suspicion {
    Suspicion::new(fingerprint, &[])
}

/// Returns a request with the shared parts `shared` and a last part and a body of its own.
fn prompt(shared: &[u64], own: u64) -> Suspicion {
    let ids = shared.iter().chain([&own]);
    let parts: Vec<Part> = ids
        .map(|id| Part {
            id: *id,
            tokens: 10,
        })
        .collect();
    Suspicion::new(Fingerprint::new("org", "/path", &own.to_le_bytes()), &parts)
}

/// Crashes an endpoint at `now` while it begins to answer the requests `running`.
fn crash(suspects: &mut Suspects, endpoint: &str, running: &[Suspicion], now: Millis) {
    for suspicion in running {
        suspects.attempt_broke(&endpoint.into(), 1, suspicion.clone(), now);
    }
    suspects.endpoint_unreachable(&endpoint.into(), now.plus(100));
}

/// Delivers the digests of all nodes to all nodes.
fn exchange(nodes: &mut [Suspects], now: Millis) {
    let stated: Vec<_> = nodes.iter().map(|node| node.stated(now)).collect();
    for node in nodes {
        for stated in &stated {
            node.merge_peer(&stated.requests, &stated.parts, now);
        }
        node.review(now);
    }
}

fn crashes(node: &Suspects, fingerprint: Fingerprint, now: Millis) -> usize {
    node.crashes(Suspect::Request(fingerprint), now)
}

/// A request that crashed one endpoint at each of three nodes reaches the limit at all of them.
#[test]
fn over_nodes() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let mut nodes: [Suspects; 3] = Default::default();
    let now = Millis(1000);
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, &format!("e{index}"), &[plain(poison)], now);
    }
    nodes[0].review(now);
    assert!(nodes[0].refused(&plain(poison)).is_none());
    exchange(&mut nodes, now);
    exchange(&mut nodes, now);
    for node in &nodes {
        assert_eq!(crashes(node, poison, now), CRASH_LIMIT);
        assert!(node.refused(&plain(poison)).is_some());
    }
}

/// Identical look-ups from four nodes were in progress at one endpoint; its single crash counted
/// four times, and the look-ups were refused for minutes (soak, seed 143).
#[test]
fn one_crash() {
    let look_up = Fingerprint::new("org", "/path", b"");
    let mut nodes: [Suspects; 4] = Default::default();
    let now = Millis(1000);
    for node in &mut nodes {
        crash(node, "e", &[plain(look_up)], now);
    }
    exchange(&mut nodes, now);
    assert!(nodes.iter().all(|node| crashes(node, look_up, now) == 1));
}

/// Crashes of several starts under the same name count separately.
#[test]
fn same_name() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let mut suspects = Suspects::default();
    for started_ms in 1..=3 {
        let now = Millis(started_ms * 1000);
        suspects.attempt_broke(&"e".into(), started_ms, plain(poison), now);
        suspects.endpoint_unreachable(&"e".into(), now.plus(100));
    }
    assert_eq!(crashes(&suspects, poison, Millis(4000)), CRASH_LIMIT);
}

/// Requests that ran beside the one that crashes the endpoints are cleared at all nodes once they
/// complete at any node.
#[test]
fn innocent() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let good = Fingerprint::new("org", "/path", b"good");
    let mut nodes: [Suspects; 3] = Default::default();
    for round in 0..3 {
        let now = Millis(1000 * (round + 1));
        let endpoint = format!("e{round}");
        crash(&mut nodes[0], &endpoint, &[plain(poison), plain(good)], now);
        exchange(&mut nodes, now);
        nodes[1].ran(&plain(good), now);
        exchange(&mut nodes, now);
    }
    let now = Millis(4000);
    for node in &nodes {
        assert_eq!(crashes(node, good, now), 0);
        assert_eq!(crashes(node, poison, now), CRASH_LIMIT);
    }
}

/// Nodes that repeat a suspect to each other must not keep it from expiring.
#[test]
fn lapses() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    let mut nodes: [Suspects; 2] = Default::default();
    crash(&mut nodes[0], "e", &[prompt(&[1, 2], 3)], Millis(1000));
    crash(&mut nodes[0], "e", &[plain(fingerprint)], Millis(1000));
    for second in 1..200 {
        exchange(&mut nodes, Millis(second * 1000));
    }
    let now = Millis(200_000);
    for node in &nodes {
        assert_eq!(crashes(node, fingerprint, now), 0);
        let stated = node.stated(now);
        assert!(stated.requests.is_empty() && stated.parts.is_empty());
    }
}

/// A broken connection makes no suspect unless the endpoint is unreachable soon after.
#[test]
fn no_crash() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    let mut suspects = Suspects::default();
    suspects.attempt_broke(&"e1".into(), 1, plain(fingerprint), Millis(1000));
    let late = suspects.endpoint_unreachable(&"e1".into(), Millis(9000));
    assert!(late.is_empty());
    assert_eq!(crashes(&suspects, fingerprint, Millis(9000)), 0);
    suspects.attempt_broke(&"e1".into(), 1, plain(fingerprint), Millis(9000));
    suspects.endpoint_reachable(&"e1".into());
    let cleared = suspects.endpoint_unreachable(&"e1".into(), Millis(9100));
    assert!(cleared.is_empty());
    suspects.attempt_broke(&"e1".into(), 1, plain(fingerprint), Millis(9200));
    suspects.endpoint_reachable(&"e1".into());
    let restarted = suspects.endpoint_restarted(&"e1".into(), Millis(9300));
    assert_eq!(
        restarted.len(),
        1,
        "it was reachable again because it had restarted"
    );
}

/// Requests that differ in organisation, path or body must have different fingerprints.
#[test]
fn told_apart() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    assert_ne!(fingerprint, Fingerprint::new("other", "/path", b"x"));
    assert_ne!(fingerprint, Fingerprint::new("org", "/other", b"x"));
    assert_ne!(fingerprint, Fingerprint::new("org", "/path", b"y"));
}

const BAD: u64 = 0xbad;

/// The users' bound on the time in which all nodes must know of a crash.
const CONTACT: Millis = Millis(3000);

/// Requests that share one part and are otherwise different, sent to four nodes for a minute, crashed
/// endpoint after endpoint, because only equal requests were counted together (incident BUDGET).
#[test]
fn part() {
    let mut nodes: [Suspects; 4] = Default::default();
    let mut sent = Vec::new();
    for number in 0..600 {
        let now = Millis(1000 + 100 * number);
        let index = usize::try_from(number % 4).unwrap();
        let request = prompt(&[1 + number % 2, BAD], 1000 + number);
        let admission = nodes[index].admit(&request, now, |_| index == 0);
        if !matches!(admission, Admission::Refused(_)) {
            sent.push(now);
            crash(&mut nodes[index], &format!("e{number}"), &[request], now);
        }
        exchange(&mut nodes, now.plus(50));
    }
    let further = sent.get(4).map_or(0, |fifth| {
        let late = sent.iter().filter(|at| at.since(*fifth) > CONTACT.0);
        late.count()
    });
    assert!(further <= 3, "{further} further requests: {sent:?}");
    let early = sent.iter().take_while(|at| at.since(sent[0]) < CONTACT.0);
    assert!(early.count() <= 5, "{sent:?}");
}

/// All endpoints fail at once. What is in frequent use is involved in every crash; as all of it was
/// refused, nothing could clear it.
#[test]
fn all_endpoints() {
    let mut nodes: [Suspects; 2] = Default::default();
    let look_up = plain(Fingerprint::new("org", "/path", b""));
    let sound = |number: u64| [prompt(&[1, 2], 100 + number), look_up.clone()];
    for node in &mut nodes {
        for request in sound(0) {
            node.ran(&request, Millis(500));
        }
    }
    for number in 0..8 {
        crash(
            &mut nodes[0],
            &format!("e{number}"),
            &sound(number),
            Millis(1000),
        );
    }
    let mut served = 0;
    for number in 0..50 {
        let now = Millis(1100 + 100 * number);
        for (index, node) in nodes.iter_mut().enumerate() {
            for request in sound(1000 + number) {
                let admission = node.admit(&request, now, |_| index == 0);
                // The endpoints are back after two seconds; until then nothing is answered.
                if now > Millis(3000) && !matches!(admission, Admission::Refused(_)) {
                    node.ran(&request, now);
                    served += usize::from(number >= 45);
                }
            }
        }
        exchange(&mut nodes, now.plus(50));
    }
    assert_eq!(served, 2 * 2 * 5, "all requests of the last half second");
}

/// Sound requests with the same first part must not be refused with those that crash endpoints,
/// also if none of them has completed before.
#[test]
fn companions() {
    let mut node = Suspects::default();
    let now = Millis(1000);
    for number in 0..3 {
        let request = prompt(&[1, BAD], 100 + number);
        crash(&mut node, &format!("e{number}"), &[request], now);
    }
    node.review(now.plus(100));
    assert!(node.refused(&prompt(&[1, BAD], 200)).is_some());
    assert!(node.refused(&prompt(&[1, 2], 201)).is_none());
    // Another first part: the list of companions gets shorter with the next crash.
    assert!(node.refused(&prompt(&[9, BAD], 202)).is_none());
    crash(&mut node, "e3", &[prompt(&[9, BAD], 202)], now.plus(100));
    node.review(now.plus(200));
    for first in [1, 9, 10] {
        assert!(node.refused(&prompt(&[first, BAD], 203)).is_some());
    }
    node.ran(&prompt(&[1, 2], 204), now.plus(300));
    node.review(now.plus(400));
    assert!(node.refused(&prompt(&[1, 3], 205)).is_none());
    assert!(node.refused(&prompt(&[1, BAD], 206)).is_some());
}

/// A part that is in use at every endpoint that crashes must not be refused beside the culprit.
#[test]
fn bystander() {
    let mut nodes: [Suspects; 2] = Default::default();
    for round in 0..6 {
        let now = Millis(1000 + 200 * round);
        let endpoint = format!("e{round}");
        crash(
            &mut nodes[0],
            &endpoint,
            &[prompt(&[1, BAD], 100 + round)],
            now,
        );
        let sound = [prompt(&[5, 6], 200 + round), prompt(&[5, 7], 300 + round)];
        crash(&mut nodes[1], &endpoint, &sound, now);
        exchange(&mut nodes, now.plus(100));
    }
    for node in &nodes {
        assert!(node.refused(&prompt(&[5, 6], 400)).is_none());
        assert!(node.refused(&prompt(&[2, BAD], 401)).is_none());
        assert!(node.refused(&prompt(&[1, BAD], 402)).is_some());
    }
}

/// Endpoints that fail at once, without a request that crashes them, must not bring a part into
/// quarantine that is sound elsewhere.
#[test]
fn outage() {
    let mut node = Suspects::default();
    node.ran(&prompt(&[1, 2], 10), Millis(500));
    let now = Millis(1000);
    for number in 0..6 {
        let running = [prompt(&[1, 20 + number], 100 + number)];
        crash(&mut node, &format!("e{number}"), &running, now);
    }
    node.review(now.plus(200));
    assert!(node.refused(&prompt(&[1, 3], 200)).is_none());
    node.ran(&prompt(&[1, 4], 201), now.plus(300));
    node.review(now.plus(5000));
    assert!(node.refused(&prompt(&[1, 3], 202)).is_none());
}

/// A part that turns bad after it was sound is refused as well.
#[test]
fn turned_bad() {
    let mut node = Suspects::default();
    for number in 0..20 {
        node.ran(&prompt(&[1, BAD], number), Millis(500));
        node.ran(&prompt(&[1, 2], 50 + number), Millis(500));
    }
    let now = Millis(1000);
    for number in 0..3 {
        let request = prompt(&[number, BAD], 100 + number);
        crash(&mut node, &format!("e{number}"), &[request], now);
    }
    node.review(now.plus(2000));
    assert!(node.refused(&prompt(&[1, BAD], 200)).is_some());
    assert!(node.refused(&prompt(&[1, 2], 201)).is_none());
}

/// Two bad parts crashed two engines and one; the first part of all prompts was in all three crashes
/// and was refused at once with the third, more than a second after the first (soak, seed 1). It had
/// no time to be cleared by requests that ran elsewhere.
#[test]
fn late_third() {
    let mut node = Suspects::default();
    node.ran(&prompt(&[1, 2], 10), Millis(500));
    let bad = [prompt(&[1, BAD], 20), prompt(&[1, BAD + 1], 21)];
    for (number, at) in [1000, 2200, 2300].into_iter().enumerate() {
        let running = &bad[number % 2..=number % 2];
        crash(&mut node, &format!("e{number}"), running, Millis(at));
    }
    node.review(Millis(2400));
    assert!(node.refused(&prompt(&[1, 3], 30)).is_none());
    node.ran(&prompt(&[1, 3], 30), Millis(2500));
    node.review(Millis(5000));
    assert!(node.refused(&prompt(&[1, 3], 31)).is_none());
}

/// A request with the bad part was let through to find out whether the first part of all prompts is
/// sound; it crashed its engine, and sound requests were refused for longer.
#[test]
fn clean_trial() {
    let mut node = Suspects::default();
    for (number, bad) in [BAD, BAD + 1, BAD].into_iter().enumerate() {
        let number = number as u64;
        let running = [
            prompt(&[1, bad], 20 + number),
            prompt(&[1, 50 + number], 60 + number),
        ];
        let now = Millis(1000);
        crash(&mut node, &format!("e{number}"), &running[..1], now);
        crash(&mut node, &format!("e{number}"), &running, now);
    }
    let now = Millis(9500);
    node.review(now);
    let bad = node.admit(&prompt(&[1, BAD], 30), now, |_| true);
    assert!(matches!(bad, Admission::Refused(_)), "{bad:?}");
    let sound = node.admit(&prompt(&[1, 4], 31), now, |_| true);
    assert_eq!(sound, Admission::Trial);
    // Without any other request, one with a suspect runs after a further pause.
    let late = Millis(30_000);
    node.review(late);
    let bad = node.admit(&prompt(&[1, BAD], 32), late, |_| true);
    assert_eq!(bad, Admission::Trial);
}

/// A trial that was refused for another reason before it was sent counted as made, and the next one
/// came a pause later.
#[test]
fn unsent_trial() {
    let mut node = Suspects::default();
    let request = prompt(&[1, BAD], 20);
    for number in 0..3 {
        let running = [prompt(&[1, BAD], 30 + number)];
        crash(&mut node, &format!("e{number}"), &running, Millis(1000));
    }
    let now = Millis(9500);
    node.review(now);
    assert_eq!(node.admit(&request, now, |_| true), Admission::Trial);
    node.trial_unsent(&request);
    node.review(now);
    assert_eq!(node.admit(&request, now, |_| true), Admission::Trial);
    let again = node.admit(&request, now, |_| true);
    assert!(matches!(again, Admission::Refused(_)), "{again:?}");
}

/// The last part belongs to the request or its session alone.
#[test]
fn last_part() {
    let mut node = Suspects::default();
    let now = Millis(1000);
    for number in 0..3 {
        let request = prompt(&[number], BAD);
        crash(&mut node, &format!("e{number}"), &[request], now);
    }
    assert_eq!(node.crashes(Suspect::Part(BAD), now), 0);
}

/// A request that is sent again and again is refused by itself; other requests with its parts run.
#[test]
fn same_request() {
    let mut node = Suspects::default();
    let now = Millis(1000);
    let request = prompt(&[1, 2], 3);
    for number in 0..4 {
        crash(
            &mut node,
            &format!("e{number}"),
            std::slice::from_ref(&request),
            now,
        );
    }
    node.review(now.plus(200));
    assert!(node.refused(&request).is_some());
    assert!(node.refused(&prompt(&[1, 2], 4)).is_none());
}

/// Nodes that hear a stated suspect twice, late or in another order must come to the same result.
#[test]
fn any_order() {
    let now = Millis(1000);
    let mut sources: [Suspects; 3] = Default::default();
    for (index, source) in sources.iter_mut().enumerate() {
        let number = index as u64;
        crash(
            source,
            &format!("e{index}"),
            &[prompt(&[number, BAD], number)],
            now,
        );
    }
    let stated: Vec<_> = sources.iter().map(|source| source.stated(now)).collect();
    for order in [[0, 1, 2, 0], [2, 0, 1, 1], [1, 2, 0, 2]] {
        let mut node = Suspects::default();
        for index in order {
            node.merge_peer(&stated[index].requests, &stated[index].parts, now);
        }
        node.review(now);
        assert!(node.refused(&prompt(&[7, BAD], 9)).is_some());
    }
}

/// In a series of crashes with many bystanders, a digest must still state the culprit.
#[test]
fn many_suspects() {
    let mut nodes: [Suspects; 2] = Default::default();
    for round in 0..4 {
        let now = Millis(1000 + 100 * round);
        let bystanders = (0..60).map(|n| prompt(&[1000 + n + 100 * round], 5000 + n + 100 * round));
        let running: Vec<_> = bystanders
            .chain([prompt(&[round, BAD], 100 + round)])
            .collect();
        crash(&mut nodes[0], &format!("e{round}"), &running, now);
        exchange(&mut nodes, now.plus(50));
    }
    assert!(nodes[1].refused(&prompt(&[50, BAD], 9)).is_some());
}

/// Every digest to every peer repeated each suspect for two minutes: on fleets of tens of entries,
/// days with many crashes paid for the bytes between places (umura-ovens-large scale-1).
#[test]
fn stated_news() {
    let mut nodes: [Suspects; 2] = Default::default();
    let bystanders: Vec<_> = (0..30).map(|n| prompt(&[1000 + n], 5000 + n)).collect();
    crash(&mut nodes[0], "e", &bystanders, Millis(1000));
    for number in 0..3 {
        let request = prompt(&[number, BAD], 100 + number);
        crash(
            &mut nodes[0],
            &format!("e{number}"),
            &[request],
            Millis(1000),
        );
    }
    let early = nodes[0].stated(Millis(2000));
    assert!(early.parts.len() > 30, "{}", early.parts.len());
    let late = nodes[0].stated(Millis(20_000));
    assert!(late.requests.is_empty(), "{:?}", late.requests);
    assert_eq!(late.parts.len(), 1, "{:?}", late.parts);
    // A node that starts late learns what is refused.
    exchange(&mut nodes, Millis(20_000));
    assert!(nodes[1].refused(&prompt(&[7, BAD], 300)).is_some());
}
