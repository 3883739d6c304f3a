//! Client of the etcd v3 JSON gateway: range reads, transactions with comparisons, lease grants.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use nutmegkeel_core::revision::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http;
use crate::kv::{Committed, Fault, Lease, Pair, Store, Write};

/// Timeout of a call, after which its answer counts as lost.
pub const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client of one endpoint, such as `http://10.0.0.1:2379`.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: String,
    http: ureq::Agent,
}

impl Client {
    /// Creates a client without connecting.
    #[must_use]
    pub fn open(endpoint: &str) -> Self {
        let config = ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
        Self {
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            http: ureq::Agent::new_with_config(config),
        }
    }

    fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, query: &Q) -> Result<A, Fault> {
        let url = format!("{}{path}", self.endpoint);
        let mut answer = self.http.post(&url).send_json(query).map_err(http::fault)?;
        answer.body_mut().read_json().map_err(|error| Fault::Lost(error.to_string()))
    }

    fn range(&self, query: &RangeQuery) -> Result<Vec<Pair>, Fault> {
        let answer: RangeAnswer = self.call("/v3/kv/range", query)?;
        answer.kvs.into_iter().map(GatewayPair::into_pair).collect()
    }
}

impl Store for Client {
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault> {
        let query = RangeQuery { key: STANDARD.encode(key), range_end: None };
        Ok(self.range(&query)?.into_iter().next())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        let range_end = Some(STANDARD.encode(prefix_end(prefix)));
        self.range(&RangeQuery { key: STANDARD.encode(prefix), range_end })
    }

    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault> {
        let query = TxnQuery {
            compare: writes.iter().filter_map(Compare::of).collect(),
            success: writes.iter().map(Operation::of).collect(),
        };
        let answer: TxnAnswer = self.call("/v3/kv/txn", &query)?;
        if !answer.succeeded {
            return Ok(Committed::Differs);
        }
        Ok(Committed::Written(Revision::first_era(number(&answer.header.revision)?)))
    }

    fn grant(&self, seconds: u64) -> Result<Lease, Fault> {
        let query = GrantQuery { ttl: seconds.to_string() };
        let answer: GrantAnswer = self.call("/v3/lease/grant", &query)?;
        Ok(Lease(number(&answer.id)?))
    }
}

/// Returns the first key after all keys with this prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn number<N: std::str::FromStr>(text: &str) -> Result<N, Fault> {
    text.parse().map_err(|_| Fault::Lost(format!("`{text}` is not a number")))
}

#[derive(Serialize)]
struct RangeQuery {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<GatewayPair>,
}

#[derive(Deserialize)]
struct GatewayPair {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

impl GatewayPair {
    fn into_pair(self) -> Result<Pair, Fault> {
        let key = decode(&self.key)?;
        let key = String::from_utf8(key).map_err(|error| Fault::Lost(error.to_string()))?;
        Ok(Pair {
            key,
            value: decode(&self.value)?,
            revision: Revision::first_era(number(&self.mod_revision)?),
        })
    }
}

fn decode(text: &str) -> Result<Vec<u8>, Fault> {
    STANDARD.decode(text).map_err(|error| Fault::Lost(error.to_string()))
}

#[derive(Serialize)]
struct TxnQuery {
    compare: Vec<Compare>,
    success: Vec<Operation>,
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

impl Compare {
    fn of(write: &Write) -> Option<Self> {
        Some(Self {
            key: STANDARD.encode(&write.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: write.expected.number()?.to_string(),
        })
    }
}

#[derive(Serialize)]
struct Operation {
    request_put: Put,
}

#[derive(Serialize)]
struct Put {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

impl Operation {
    fn of(write: &Write) -> Self {
        Self {
            request_put: Put {
                key: STANDARD.encode(&write.key),
                value: STANDARD.encode(&write.value),
                lease: write.lease.map(|lease| lease.0.to_string()),
            },
        }
    }
}

#[derive(Deserialize)]
struct TxnAnswer {
    header: AnswerHeader,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct AnswerHeader {
    revision: String,
}

#[derive(Serialize)]
struct GrantQuery {
    #[serde(rename = "TTL")]
    ttl: String,
}

#[derive(Deserialize)]
struct GrantAnswer {
    #[serde(rename = "ID")]
    id: String,
}
