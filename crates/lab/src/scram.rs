//! SCRAM (RFC 5802, RFC 7677), both sides, without channel binding, with `hmac`, `sha1`, `sha2` and `pbkdf2`.

use base64::prelude::{Engine, BASE64_STANDARD};
use hmac::{Hmac, Mac};
use sha2::Digest;

/// The hash of a mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hash {
    /// SCRAM-SHA-1.
    Sha1,
    /// SCRAM-SHA-256.
    Sha256,
}

/// Rounds: few, since the stand-ins log in by hundreds.
const ROUNDS: u32 = 64;

impl Hash {
    /// The hash of a mechanism's name.
    pub fn of(mechanism: &str) -> Option<Hash> {
        match mechanism {
            "SCRAM-SHA-1" => Some(Hash::Sha1),
            "SCRAM-SHA-256" => Some(Hash::Sha256),
            _ => None,
        }
    }

    fn mac(self, key: &[u8], text: &[u8]) -> Vec<u8> {
        // HMAC takes a key of any length.
        match self {
            Hash::Sha1 => Hmac::<sha1::Sha1>::new_from_slice(key)
                .expect("any key")
                .chain_update(text)
                .finalize()
                .into_bytes()
                .to_vec(),
            Hash::Sha256 => Hmac::<sha2::Sha256>::new_from_slice(key)
                .expect("any key")
                .chain_update(text)
                .finalize()
                .into_bytes()
                .to_vec(),
        }
    }

    fn hash(self, text: &[u8]) -> Vec<u8> {
        match self {
            Hash::Sha1 => sha1::Sha1::digest(text).to_vec(),
            Hash::Sha256 => sha2::Sha256::digest(text).to_vec(),
        }
    }

    fn salted(self, password: &str, salt: &[u8], rounds: u32) -> Vec<u8> {
        match self {
            Hash::Sha1 => {
                pbkdf2::pbkdf2_hmac_array::<sha1::Sha1, 20>(password.as_bytes(), salt, rounds)
                    .to_vec()
            }
            Hash::Sha256 => {
                pbkdf2::pbkdf2_hmac_array::<sha2::Sha256, 32>(password.as_bytes(), salt, rounds)
                    .to_vec()
            }
        }
    }

    /// The proof, and the server's signature, over all that was said.
    fn prove(self, salted: &[u8], said: &str) -> (Vec<u8>, Vec<u8>) {
        let client = self.mac(salted, b"Client Key");
        let signature = self.mac(&self.hash(&client), said.as_bytes());
        let proof = client.iter().zip(&signature).map(|(a, b)| a ^ b).collect();
        (
            proof,
            self.mac(&self.mac(salted, b"Server Key"), said.as_bytes()),
        )
    }
}

fn field<'a>(message: &'a str, key: &str) -> Option<&'a str> {
    message
        .split(',')
        .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
}

fn nonce() -> String {
    format!("{:016x}", getrandom::u64().unwrap_or_default())
}

/// The client's side.
pub struct Client {
    hash: Hash,
    password: String,
    first: String,
    nonce: String,
    signature: Vec<u8>,
}

impl Client {
    /// For this user.
    pub fn new(hash: Hash, user: &str, password: &str) -> Client {
        let nonce = nonce();
        let user = user.replace('=', "=3D").replace(',', "=2C");
        let first = format!("n={user},r={nonce}");
        Client {
            hash,
            password: password.into(),
            first,
            nonce,
            signature: Vec::new(),
        }
    }

    /// The first message.
    pub fn first(&self) -> String {
        format!("n,,{}", self.first)
    }

    /// The answer to the server's first message; none where it is not one.
    pub fn answer(&mut self, challenge: &str) -> Option<String> {
        let nonce = field(challenge, "r")
            .filter(|r| r.starts_with(&self.nonce) && r.len() > self.nonce.len())?;
        let salt = BASE64_STANDARD.decode(field(challenge, "s")?).ok()?;
        let salted = self
            .hash
            .salted(&self.password, &salt, field(challenge, "i")?.parse().ok()?);
        let bare = format!("c=biws,r={nonce}");
        let (proof, signature) = self
            .hash
            .prove(&salted, &format!("{},{challenge},{bare}", self.first));
        self.signature = signature;
        Some(format!("{bare},p={}", BASE64_STANDARD.encode(proof)))
    }

    /// Whether the server knew the password.
    pub fn verified(&self, last: &str) -> bool {
        field(last, "v").and_then(|v| BASE64_STANDARD.decode(v).ok())
            == Some(self.signature.clone())
    }
}

/// The server's side.
pub struct Server {
    hash: Hash,
    first: String,
    challenge: String,
    nonce: String,
    salt: Vec<u8>,
    /// The user whom the first message names.
    pub user: String,
}

impl Server {
    /// Reads a client's first message.
    pub fn new(hash: Hash, message: &str) -> Option<Server> {
        let first = message
            .strip_prefix("n,,")
            .or_else(|| message.strip_prefix("y,,"))?
            .to_string();
        let user = field(&first, "n")?.replace("=2C", ",").replace("=3D", "=");
        let nonce = format!("{}{}", field(&first, "r")?, nonce());
        let salt = nonce.as_bytes()[nonce.len() - 8..].to_vec();
        let challenge = format!("r={nonce},s={},i={ROUNDS}", BASE64_STANDARD.encode(&salt));
        Some(Server {
            hash,
            first,
            challenge,
            nonce,
            salt,
            user,
        })
    }

    /// The first message back.
    pub fn challenge(&self) -> &str {
        &self.challenge
    }

    /// The last message back; none where the proof is not this password's.
    pub fn verify(&self, response: &str, password: &str) -> Option<String> {
        let (bare, proof) = response.rsplit_once(",p=")?;
        if field(bare, "r") != Some(&self.nonce) || field(bare, "c").is_none() {
            return None;
        }
        let salted = self.hash.salted(password, &self.salt, ROUNDS);
        let said = format!("{},{},{bare}", self.first, self.challenge);
        let (expected, signature) = self.hash.prove(&salted, &said);
        let good = BASE64_STANDARD.decode(proof).ok()? == expected;
        good.then(|| format!("v={}", BASE64_STANDARD.encode(signature)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example of RFC 7677, section 3.
    #[test]
    fn the_example_of_the_standard_comes_out() {
        let mut client = Client::new(Hash::Sha256, "user", "pencil");
        client.nonce = "rOprNGfwEbeRWgbNEkqO".into();
        client.first = "n=user,r=rOprNGfwEbeRWgbNEkqO".into();
        let challenge =
            "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
        let expected = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,\
            p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
        assert_eq!(client.answer(challenge).as_deref(), Some(expected));
        assert!(client.verified("v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="));
    }

    #[test]
    fn both_sides_meet_on_the_password_alone() {
        for hash in [Hash::Sha1, Hash::Sha256] {
            for (password, good) in [("right", true), ("wrong", false)] {
                let mut client = Client::new(hash, "a,b=c", password);
                let server = Server::new(hash, &client.first()).unwrap();
                assert_eq!(server.user, "a,b=c");
                let last = server.verify(&client.answer(server.challenge()).unwrap(), "right");
                assert_eq!(last.is_some_and(|last| client.verified(&last)), good);
            }
        }
    }
}
