//! Time until a call on a new flow is answered, while the first replies to its caller are lost.

use std::io;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::caller::{Answer, Caller, Fault};
use crate::demo::calls::{Class, status_check};
use crate::demo::deployment::Deployment;
use crate::standin::fabric::Trouble;

/// Time until all processes run and know each other.
const SETTLE: Duration = Duration::from_secs(5);

/// Makes a call on a new flow whose caller gets no reply for `mute_ms`; returns true if it is
/// answered.
///
/// # Errors
/// When a process cannot be started or no caller can be created.
pub fn run(mute_ms: u64) -> io::Result<bool> {
    let deployment = Deployment::open(Trouble { mute_ms, ..Trouble::default() })?;
    std::thread::sleep(SETTLE);
    let class = &deployment.classes()[0];
    let runtime = tokio::runtime::Runtime::new()?;
    let entered = runtime.enter();
    let caller = Caller::open(deployment.certificate())?;
    drop(entered);
    let began = Instant::now();
    let answered = runtime.block_on(call(&caller, class));
    let after = began.elapsed();
    match &answered {
        Ok(answer) => println!("answered with {} after {after:?}", answer.status),
        Err(fault) => println!("{fault}"),
    }
    println!("{}", json!({"answered": answered.is_ok(), "after_ms": after.as_millis()}));
    Ok(answered.is_ok())
}

async fn call(caller: &Caller, class: &Class) -> Result<Answer, Fault> {
    let mut flow = caller.flow(class.address).await?;
    flow.call(&status_check(class, 0)).await
}
