//! Controls: the control thread, which owns the tables.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_control::outputs::Event;
use bergamotpitch_control::{Input, Options, Output, Tables, step};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{RequestId, UpstreamId};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::contexts::{Context, ControlInput, Decision};
use crate::errors::{Result, start_error};
use crate::peers::PeerOutput;
use crate::snapshots::Snapshot;
use crate::statuses::{Recent, status_of_tables};

/// Inputs that are applied in one step at most.
const BATCH_INPUTS: usize = 1_024;

/// `Control` is what the control thread owns besides the tables.
struct Control {
    context: Arc<Context>,
    tables: Tables,
    calls: HashMap<RequestId, mpsc::Sender<Decision>>,
    recent: Recent,
    sends: mpsc::Sender<PeerOutput>,
}

/// `spawn` starts the control thread.
///
/// # Errors
///
/// `Start` when the thread cannot be started.
pub fn spawn(
    context: Arc<Context>,
    receiver: mpsc::Receiver<ControlInput>,
    sends: mpsc::Sender<PeerOutput>,
) -> Result<JoinHandle<()>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().map_err(start_error)?;
    let tables = Tables { options: options_of_context(&context), ..Tables::default() };
    let control =
        Control { context, tables, calls: HashMap::default(), recent: Recent::default(), sends };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(run(control, receiver)))
        .map_err(start_error)
}

fn options_of_context(context: &Context) -> Options {
    Options {
        instance: context.instance,
        incarnation: context.incarnation,
        domain: context.domain,
        policy: context.settings.policy,
        drain_grace: context.options.shortest_drain,
        first_peers: context.settings.first_peers.clone(),
        seed: context.incarnation ^ u64::from(context.instance),
        ..Options::default()
    }
}

async fn run(mut control: Control, mut receiver: mpsc::Receiver<ControlInput>) {
    let period = Duration::from_millis(control.context.settings.tick_ms);
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(BATCH_INPUTS);
    loop {
        tokio::select! {
            biased;
            count = receiver.recv_many(&mut batch, BATCH_INPUTS) => if count == 0 { return },
            _ = ticks.tick() => {}
        }
        let Some(taken) = take_in(&mut control, &mut batch) else { return };
        let outputs = step(&mut control.tables, control.context.now(), taken.inputs);
        for output in outputs {
            put_out(&mut control, output);
        }
        publish_drained(&control);
        publish_duties(&control);
        for question in taken.questions {
            answer_question(&control, question);
        }
    }
}

/// `Taken` is a batch of inputs, sorted out.
struct Taken {
    /// For the tables.
    inputs: Vec<Input>,
    /// Answered after the step, so that an answer shows all that came before its question.
    questions: Vec<ControlInput>,
}

/// `take_in` keeps what is for this thread and sorts out the rest; none at the end.
fn take_in(control: &mut Control, batch: &mut Vec<ControlInput>) -> Option<Taken> {
    let mut inputs = Vec::with_capacity(batch.len());
    let mut questions = Vec::new();
    let mut is_closing = false;
    for input in batch.drain(..) {
        match input {
            ControlInput::Arrived { arrival, decisions } => {
                control.calls.insert(arrival.request, decisions);
                inputs.push(Input::Arrived(arrival));
            }
            ControlInput::Observed(input) => {
                if let Some(request) = ended_request(&input) {
                    control.calls.remove(&request);
                }
                inputs.push(input);
            }
            ControlInput::Noted(event) => emit(control, event),
            ControlInput::AskStatus(_) | ControlInput::AskExplanation(..) => questions.push(input),
            ControlInput::Close => is_closing = true,
        }
    }
    (!is_closing).then_some(Taken { inputs, questions })
}

fn answer_question(control: &Control, question: ControlInput) {
    // An operator who no longer waits needs no answer.
    match question {
        ControlInput::AskStatus(answer) => {
            let _ = answer.send(status_of_tables(&control.context, &control.tables));
        }
        ControlInput::AskExplanation(request, answer) => {
            let _ = answer.send(control.recent.explain(&control.context, request));
        }
        _ => {}
    }
}

/// `ended_request` names the request that needs no further decision after an input.
fn ended_request(input: &Input) -> Option<RequestId> {
    match input {
        Input::CallerLeft { request } => Some(*request),
        Input::AttemptEnded {
            request,
            outcome: AttemptOutcome::Answered | AttemptOutcome::AnswerCut,
            ..
        } => Some(*request),
        _ => None,
    }
}

fn put_out(control: &mut Control, output: Output) {
    match output {
        Output::Dispatch { request, upstream, attempt } => {
            decide_dispatch(control, request, upstream, attempt);
        }
        Output::Refuse { request, refusal } => {
            if let Some(call) = control.calls.remove(&request) {
                let _ = call.try_send(Decision::Refuse(refusal));
            }
        }
        Output::Send { to, message } => {
            // Messages may be lost; what they carry is sent again.
            let _ = control.sends.try_send(PeerOutput::Send { to, message });
        }
        Output::PutInForce(accepted) => {
            control.context.snapshot.store(Arc::new(Snapshot::of_sheet(&accepted)));
            control.context.accepted.store(Some(accepted));
        }
        Output::WatchSheet { watching } => {
            control.context.watching.send_replace(watching);
        }
        Output::LeadOrders { leading } => {
            control.context.leading.send_replace(leading);
        }
        Output::FetchSheet { from, version: _ } => {
            let _ = control.sends.try_send(PeerOutput::FetchSheet { from });
        }
        Output::Emit(event) => emit(control, event),
    }
}

fn decide_dispatch(control: &mut Control, request: RequestId, upstream: UpstreamId, attempt: u32) {
    let Some(call) = control.calls.get(&request) else { return };
    // A call takes each decision before the next one is made, so that its channel has room.
    if call.try_send(Decision::Dispatch { upstream, attempt }).is_err() {
        control.calls.remove(&request);
    }
}

fn emit(control: &mut Control, event: Event) {
    control.recent.note(control.context.now(), &event);
    control.context.emit(event);
}

fn publish_duties(control: &Control) {
    let duties = control.tables.coordinators.keys();
    let published = control.context.duties.load();
    if !duties.clone().eq(published.iter()) {
        control.context.duties.store(Arc::new(duties.copied().collect()));
    }
}

fn publish_drained(control: &Control) {
    let is_drained = control.tables.draining && control.tables.requests.is_empty();
    if is_drained && !*control.context.drained.borrow() {
        control.context.drained.send_replace(true);
    }
}
