//! Some answers of data nodes state a length that is too small, so that their value is cut off. The client must get the
//! value that was made for its request, or no value.

use super::*;

const REQUESTS: usize = 300;

pub fn run(record: &Record, temporary: &str) -> bool {
    let parts: Parts = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    let trouble = has_trouble();
    let answerer: Answerer = Arc::new(move |part: &Part| {
        let number = answered.fetch_add(1, Ordering::SeqCst);
        if !trouble || number % 20 != 19 {
            return Answer::Sound;
        }
        let text = format!("{} OK 1 -\n{}", part.id, part.value);
        let mut bytes = frame(b'Y', text.as_bytes());
        // The length covers the letter and the rest; here it leaves out 8 of the 16 bytes of the value.
        let stated = (text.len() + 1 - 8) as u32;
        bytes[..4].copy_from_slice(&stated.to_be_bytes());
        Answer::Spoilt(bytes)
    });
    let nodes: Vec<DataNode> =
        (0..6).map(|index| DataNode::start(index, 20, record, &parts, answerer.clone())).collect();
    let list = list_of(&nodes);
    let discovery = start_discovery(&list);
    let mut router =
        Router::start(&Settings { classes: &GYM_CLASSES, sockets: 256 }, discovery, &list, temporary);
    let (mut false_values, mut served, mut others) = (0, 0, 0);
    for number in 0..REQUESTS {
        let class = &GYM_CLASSES[if number % 4 == 3 { 2 } else { 1 }];
        let shards: Vec<usize> = if class.name == "visit-credit" {
            vec![number % SHARDS]
        } else {
            vec![number % 4, 4 + number % 4, (number + 1) % 4]
        };
        let request = Request::new(class.name, class.deadline_ms, &shards);
        let outcome = ask_on_new_connection(router.address, &request, class.deadline_ms + 600);
        let Ok(outcome) = outcome else { could_not_run("no connection to the router") };
        record.line(&format!("client {} {} {:?}: {outcome:?}", request.id, class.name, shards));
        match outcome {
            Outcome::Answered { status: 200, body, .. } => {
                served += 1;
                for (shard, payload) in payloads(&body) {
                    let made = value_of(&format!("{}.{shard}", request.id), request.text.as_bytes());
                    if payload != made {
                        false_values += 1;
                        record.line(&format!(
                            "BROKEN: {} was served with {payload:?} for shard {shard}; the data node made {made:?}",
                            request.id
                        ));
                    }
                }
            }
            _ => others += 1,
        }
        sleep_ms(5);
    }
    if !router.is_running() {
        could_not_run("the router has ended");
    }
    record.line(&format!("served {served}, not served {others}, false values {false_values}"));
    say!("served {served}, not served {others}, false values {false_values}");
    false_values > 0
}
