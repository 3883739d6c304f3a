//! Reads the fields of a JSON object one by one and collects the faults.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::Fault;

/// Fields that are common in the settings of other load balancers and are rejected here with a
/// reason.
const FORBIDDEN: [&str; 5] = ["weight", "weights", "backend", "backends", "servers"];

pub(super) struct Reader {
    fields: Map<String, Value>,
    faults: Vec<Fault>,
    readable: bool,
}

impl Reader {
    pub(super) fn open(text: &str) -> Self {
        match serde_json::from_str::<Map<String, Value>>(text) {
            Ok(fields) => Self { fields, faults: Vec::new(), readable: true },
            Err(error) => {
                let reason = format!("is no JSON object: {error}");
                let fault = Fault { field: "file".to_owned(), reason };
                Self { fields: Map::new(), faults: vec![fault], readable: false }
            }
        }
    }

    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        field: &str,
        allowed: &str,
    ) -> Option<T> {
        let Some(value) = self.fields.remove(field) else {
            if self.readable {
                self.fault(field, format!("is missing; allowed: {allowed}"));
            }
            return None;
        };
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(field, format!("{error}; allowed: {allowed}"));
                None
            }
        }
    }

    pub(super) fn fault(&mut self, field: &str, reason: String) {
        self.faults.push(Fault { field: field.to_owned(), reason });
    }

    pub(super) fn refuse_unknown(&mut self) {
        let unknown: Vec<String> =
            std::mem::take(&mut self.fields).into_iter().map(field_name).collect();
        for field in unknown {
            let reason = if FORBIDDEN.contains(&field.as_str()) {
                "is refused: operators state targets per class; backend servers announce \
                 themselves to their agents, and the system finds the weights"
            } else {
                "is unknown; remove it or correct its name"
            };
            self.fault(&field, reason.to_owned());
        }
    }

    pub(super) fn faults(self) -> Vec<Fault> {
        self.faults
    }
}

fn field_name(entry: (String, Value)) -> String {
    entry.0
}
