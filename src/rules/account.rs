//! Client accounts: who they are, and what they set and may ask for.

use std::collections::HashMap;
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::base::ids::{AccountName, ServiceName};
use crate::decide::quota::AccountQuota;
use crate::rules::options::KindOptions;

/// The parameters of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountParameters {
    /// The account.
    pub name: AccountName,
    /// BLAKE3 of the account's bearer token, in hexadecimal; an account without one makes
    /// no requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_blake3: Option<String>,
    /// The same of its further tokens, all as good as the first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub more_tokens_blake3: Vec<String>,
    /// Rank of its requests, where it goes before that of their routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Requests it may make, over all daemons together; any number where missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<AccountQuota>,
    /// The account's share of a busy target, relative to the others'.
    #[serde(default = "default_share")]
    pub share: u16,
    /// What the account sets differently from the templates.
    #[serde(default)]
    pub parameters: Vec<KindParameters>,
}

/// What one account sets for one kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindParameters {
    /// The service.
    pub service: ServiceName,
    /// The kind, as the template names it.
    pub kind: String,
    /// What is set.
    #[serde(flatten)]
    pub options: KindOptions,
}

const fn default_share() -> u16 {
    1
}

impl AccountParameters {
    /// Returns the digests of all tokens, in hexadecimal.
    fn tokens(&self) -> impl Iterator<Item = &String> {
        self.token_blake3.iter().chain(&self.more_tokens_blake3)
    }
}

/// The account of each token, by the token's digest.
///
/// How long a look-up takes tells something of the digest that was asked for at most,
/// and who asks can't choose that.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex(OnceLock<HashMap<[u8; blake3::OUT_LEN], usize>>);

impl PartialEq for AccountIndex {
    /// It follows from the accounts, which are compared themselves.
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for AccountIndex {}

impl AccountIndex {
    /// Returns the place in `accounts` of the one that owns a token.
    pub(crate) fn of_token(&self, accounts: &[AccountParameters], token: &[u8]) -> Option<usize> {
        let tokens = self.0.get_or_init(|| Self::build(accounts));
        tokens.get(blake3::hash(token).as_bytes()).copied()
    }

    fn build(accounts: &[AccountParameters]) -> HashMap<[u8; blake3::OUT_LEN], usize> {
        let digests = accounts.iter().enumerate().flat_map(|(index, account)| {
            account.tokens().map(move |token| (blake3::Hash::from_hex(token), index))
        });
        digests.filter_map(|(digest, index)| Some((*digest.ok()?.as_bytes(), index))).collect()
    }
}

/// Two accounts with one token; which of them a request is of can't be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SharedToken<'a> {
    pub(crate) first: &'a AccountName,
    pub(crate) second: &'a AccountName,
}

/// Returns two accounts that have a token in common, if there are any.
pub(crate) fn find_shared_token(accounts: &[AccountParameters]) -> Option<SharedToken<'_>> {
    let mut owners: HashMap<&str, &AccountName> = HashMap::new();
    for account in accounts {
        for token in account.tokens() {
            let earlier = owners.insert(token, &account.name);
            if let Some(first) = earlier.filter(|first| **first != account.name) {
                return Some(SharedToken { first, second: &account.name });
            }
        }
    }
    None
}
