//! Client accounts: their tokens, quotas and parameters.

use std::collections::HashMap;
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::base::ids::{AccountName, ServiceName};
use crate::decide::quota::AccountQuota;
use crate::rules::options::KindOptions;

/// Configuration of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountParameters {
    /// Name of the account.
    pub name: AccountName,
    /// BLAKE3 hash of the account's bearer token, in hexadecimal; an account without a token
    /// can't make requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_blake3: Option<String>,
    /// Hashes of further tokens of the account, which are equivalent to the first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub more_tokens_blake3: Vec<String>,
    /// Rank of the account's requests, which overrides the rank of their routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Quota of requests over all daemons together; unlimited if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<AccountQuota>,
    /// Share of a busy target, relative to the shares of other accounts.
    #[serde(default = "default_share")]
    pub share: u16,
    /// Options that the account sets differently from the templates.
    #[serde(default)]
    pub parameters: Vec<KindParameters>,
}

/// Options that one account sets for one kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindParameters {
    /// Service of the kind.
    pub service: ServiceName,
    /// Name of the kind in the service's template.
    pub kind: String,
    /// Options set.
    #[serde(flatten)]
    pub options: KindOptions,
}

const fn default_share() -> u16 {
    1
}

impl AccountParameters {
    /// Returns the account's weight at a busy target: its quota in requests per second, or its
    /// share if it has no quota.
    pub(crate) fn weight(&self) -> u16 {
        let Some(quota) = self.quota else { return self.share.max(1) };
        let per_s = quota.per_1000_s.div_ceil(1_000).max(1);
        u16::try_from(per_s).unwrap_or(u16::MAX)
    }

    /// Returns the hashes of all tokens, in hexadecimal.
    fn token_hashes(&self) -> impl Iterator<Item = &String> {
        self.token_blake3.iter().chain(&self.more_tokens_blake3)
    }
}

/// BLAKE3 hash of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHash([u8; blake3::OUT_LEN]);

impl TokenHash {
    /// Hashes a token.
    pub(crate) fn of(token: &[u8]) -> Self {
        Self(*blake3::hash(token).as_bytes())
    }
}

/// Index of the accounts by the hashes of their tokens.
///
/// The time that a look-up takes may reveal something about the hash of the presented token. A
/// caller can't choose that hash, so this does not help it to guess a token.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex(OnceLock<HashMap<[u8; blake3::OUT_LEN], usize>>);

impl PartialEq for AccountIndex {
    /// Always equal: the index is derived from the accounts, which are compared themselves.
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for AccountIndex {}

impl AccountIndex {
    /// Returns the position in `accounts` of the owner of a token with the given hash.
    pub(crate) fn of_hash(&self, accounts: &[AccountParameters], hash: TokenHash) -> Option<usize> {
        let owners = self.0.get_or_init(|| Self::build(accounts));
        owners.get(&hash.0).copied()
    }

    fn build(accounts: &[AccountParameters]) -> HashMap<[u8; blake3::OUT_LEN], usize> {
        let hashes = accounts.iter().enumerate().flat_map(|(index, account)| {
            account.token_hashes().map(move |hash| (blake3::Hash::from_hex(hash), index))
        });
        hashes.filter_map(|(hash, index)| Some((*hash.ok()?.as_bytes(), index))).collect()
    }
}

/// Two accounts with the same token, whose requests can't be distinguished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SharedToken<'a> {
    pub(crate) first: &'a AccountName,
    pub(crate) second: &'a AccountName,
}

/// Returns two accounts with the same token, if there are any.
pub(crate) fn find_shared_token(accounts: &[AccountParameters]) -> Option<SharedToken<'_>> {
    let mut owners: HashMap<&str, &AccountName> = HashMap::new();
    for account in accounts {
        for hash in account.token_hashes() {
            let earlier = owners.insert(hash, &account.name);
            if let Some(first) = earlier.filter(|first| **first != account.name) {
                return Some(SharedToken { first, second: &account.name });
            }
        }
    }
    None
}
