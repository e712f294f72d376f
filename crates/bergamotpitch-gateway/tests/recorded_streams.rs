//! What is recorded of streams does not hang on the one instance that records it.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamotpitch_control::traffic::origin_records::{OriginGroup, RecordedOrigins};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::software_versions::software_id;
use bergamotpitch_control::traffic::stream_origins::attempt_number;
use bergamotpitch_core::ids::SoftwareId;
use bergamotpitch_gateway::origin_records::{OriginStore, RecordPage};
use common::instances::{Instance, introduce};
use common::{Act, FakeUpstream, connect, event, request, run, stream_head};
use http_body_util::BodyExt;

/// `Records` are the records that instances have written.
#[derive(Debug, Clone, Default)]
struct Records {
    written: Arc<Mutex<Vec<Vec<u8>>>>,
    /// How many of the next writes fail.
    failures: Arc<AtomicUsize>,
}

impl Records {
    /// Lets an instance keep its records here.
    async fn keep_for(&self, instance: &Instance) {
        let (writing, reading) = (self.clone(), self.clone());
        instance
            .with(move |gateway| {
                gateway.keep_origin_records(OriginStore {
                    write: Box::new(move |record, _| {
                        let is_written = writing.write(record);
                        Box::pin(async move { is_written })
                    }),
                    read: Box::new(move |_| {
                        let records = reading.written.lock().unwrap().clone();
                        Box::pin(async move { Some(RecordPage { records, revision: 1 }) })
                    }),
                });
            })
            .await;
    }

    fn write(&self, record: Vec<u8>) -> bool {
        let failures = &self.failures;
        let failed =
            failures.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        if failed.is_err() {
            self.written.lock().unwrap().push(record);
        }
        failed.is_err()
    }

    fn software_of(&self, attempt: &str) -> Option<SoftwareId> {
        let mut recorded = RecordedOrigins::default();
        for record in self.written.lock().unwrap().iter() {
            let groups: Vec<OriginGroup> = postcard::from_bytes(record).unwrap();
            recorded.insert(&groups);
        }
        recorded.origin_of(attempt_number(attempt)).map(|found| found.origin.software)
    }

    async fn until_recorded(&self, attempt: &str) {
        for _ in 0..300 {
            if self.software_of(attempt).is_some() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{attempt} is not recorded");
    }
}

async fn endless() -> FakeUpstream {
    FakeUpstream::start(Box::new(|_| vec![stream_head(), event(1), Act::Hang])).await
}

fn listed(id: &str, upstream: &FakeUpstream, software: &str) -> Registration {
    Registration {
        software: Some(software.to_owned()),
        ..common::registration(id, upstream.address)
    }
}

/// Begins a stream and reads its first event.
async fn begin(instance: &Instance, attempt: &str) -> impl Sized {
    let mut sender = connect(instance.address).await;
    let response = sender.send_request(request("POST", "/resumed/", attempt)).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    (sender, body)
}

/// Guards against streams that nobody records any more, and against those that were told last to a recorder which was
/// killed before its next write.
#[test]
fn killed_recorder() {
    run(async {
        let (old, new) = (endless().await, endless().await);
        let records = Records::default();
        // The first one is the recorder.
        let instances = [(); 3].map(|()| Instance::start_deciding("a"));
        for instance in &instances {
            records.keep_for(instance).await;
        }
        introduce(&instances.each_ref()).await;
        for instance in &instances {
            instance.list(&[listed("old", &old, "v1")]).await;
        }
        let [recorder, second, third] = instances;
        let _first = begin(&third, "first").await;
        for instance in [&recorder, &second, &third] {
            instance.list(&[listed("new", &new, "v2")]).await;
        }
        records.until_recorded("first").await;
        assert_eq!(records.software_of("first"), Some(software_id(Some("v1"))));
        let _second = begin(&third, "second").await;
        recorder.kill();
        assert_eq!(records.software_of("second"), None);
        records.until_recorded("second").await;
        let _third = begin(&third, "third").await;
        records.until_recorded("third").await;
    });
}

/// Guards against streams that are not recorded as the store did not take them at once.
#[test]
fn failed_writes() {
    run(async {
        let (old, new) = (endless().await, endless().await);
        let records = Records::default();
        records.failures.store(2, Ordering::Relaxed);
        let instance = Instance::start_deciding("a");
        records.keep_for(&instance).await;
        introduce(&[&instance]).await;
        instance.list(&[listed("old", &old, "v1")]).await;
        let _first = begin(&instance, "first").await;
        instance.list(&[listed("new", &new, "v2")]).await;
        records.until_recorded("first").await;
        assert_eq!(records.failures.load(Ordering::Relaxed), 0);
    });
}
