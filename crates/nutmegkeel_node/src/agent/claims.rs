//! Writes groups of claims to the platform, on a separate thread because the client blocks.

use nutmegkeel_core::agent::Event;
use nutmegkeel_store::claims::Writer;
use nutmegkeel_store::kv::Store;

use super::shared::Shared;

/// Writes the groups one after the other until the agent ends.
pub(super) fn write_all(shared: &Shared, store: &dyn Store) {
    let Some(groups) = shared.take_claim_groups() else {
        return;
    };
    let mut writer = Writer::open();
    while let Ok(claims) = groups.recv() {
        let outcomes = writer.write(store, shared.now(), &claims);
        shared.handle(Event::Written(outcomes));
    }
}
