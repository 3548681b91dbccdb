//! Send queue of a TCP connection, as the operating system reports it: bytes that its peer has not acknowledged, and
//! whether the peer answers.
//!
//! Asks by the `sock_diag` protocol over netlink, which needs no privilege. The libraries in use offer neither
//! `SIOCOUTQ` nor `TCP_INFO` without unsafe code.

use std::error;
use std::fmt;
use std::io::{self, Read as _};
use std::net;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use steer::common::peer_silence;

/// `AF_NETLINK`.
const NETLINK: i32 = 16;

/// `NETLINK_SOCK_DIAG`.
const SOCK_DIAG: i32 = 4;

/// Message type `SOCK_DIAG_BY_FAMILY`, of the request and of its response.
const BY_FAMILY: u16 = 20;

/// Message type `NLMSG_ERROR`, of a response that is an error.
const ERROR: u16 = 2;

/// `NLM_F_REQUEST`.
const IS_REQUEST: u16 = 1;

/// `IPPROTO_TCP`.
const TCP: u8 = 6;

/// `AF_INET`, and `AF_INET6`.
const FAMILIES: [u8; 2] = [2, 10];

/// Length of a request: `nlmsghdr` and `inet_diag_req_v2`.
const REQUEST_BYTES: u32 = 16 + 56;

/// `INET_DIAG_NOCOOKIE`: the addresses alone identify the connection.
const NO_COOKIE: [u8; 8] = [u8::MAX; 8];

/// Position of the negative error number in a response that is an error: after `nlmsghdr`.
const ERROR_AT: usize = 16;

/// Errors that the request gets each time: `EPERM`, `ENOENT` (no such connection, or no such protocol), `EACCES`,
/// `EINVAL`, `EPROTONOSUPPORT`, `EOPNOTSUPP` and `EAFNOSUPPORT` of Linux.
const LASTING_ERRORS: [i32; 7] = [1, 2, 13, 22, 93, 95, 97];

/// Position of `idiag_dport` in a response: `nlmsghdr`, then 4 bytes and `idiag_sport`.
const PEER_PORT_AT: usize = 16 + 4 + 2;

/// Position of `idiag_wqueue` in a response: `nlmsghdr`, then 4 bytes, `inet_diag_sockid`, `idiag_expires` and
/// `idiag_rqueue`.
const QUEUE_AT: usize = 16 + 4 + 48 + 8;

/// `INET_DIAG_INFO`, the type of the attribute with `tcp_info`, and the bit that asks for it.
const INFO: u16 = 2;
const INFO_BIT: u8 = 1 << (INFO - 1);

/// Position of the first attribute in a response: after `nlmsghdr` and `inet_diag_msg`.
const ATTRIBUTES_AT: usize = 16 + 72;

/// Length of the head of an attribute, its length and its type; attributes begin at multiples of it.
const ATTRIBUTE_HEAD: usize = 4;

/// Positions of `tcpi_probes`, and of `tcpi_last_data_sent` and `tcpi_last_ack_recv` (in milliseconds), in `tcp_info`.
const PROBES_AT: usize = 3;
const LAST_SENT_AT: usize = 44;
const LAST_ACK_AT: usize = 56;

/// Size of the buffer for a response, which has attributes after `inet_diag_msg`.
const RESPONSE_BYTES: usize = 1_024;

/// Why the operating system did not report a connection.
#[derive(Debug)]
pub enum Error {
    /// The connection has ended, or the operating system never reports connections.
    NotReported,
    /// The request failed, for lack of a descriptor for instance, which says nothing about the connection.
    Failed(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReported => f.write_str("the connection is not reported"),
            Self::Failed(error) => write!(f, "the request failed: {error}"),
        }
    }
}

impl error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.raw_os_error() {
            Some(code) if LASTING_ERRORS.contains(&code) => Self::NotReported,
            _ => Self::Failed(error),
        }
    }
}

/// The two addresses of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address on this side.
    pub local: net::SocketAddr,
    /// The address of the peer.
    pub peer: net::SocketAddr,
}

impl Addresses {
    /// Returns how many bytes written to the connection its peer has not acknowledged.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the connection, or the request fails.
    pub fn unacknowledged(&self) -> Result<u32, Error> {
        let response = self.ask(0)?;
        parse(&response, self.peer.port())
    }

    /// Returns how many bytes the peer has not acknowledged, and whether it answers.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the connection, or the request fails.
    pub fn state(&self) -> Result<peer_silence::State, Error> {
        let response = self.ask(INFO_BIT)?;
        let unacknowledged = parse(&response, self.peer.port())?.into();
        let Some(info) = attribute(&response, INFO) else { return Err(Error::NotReported) };
        let time = |at| field(info, at).map(u32::from_ne_bytes);
        let (Some([probes]), Some(since_sent), Some(since_answer)) =
            (field(info, PROBES_AT), time(LAST_SENT_AT), time(LAST_ACK_AT))
        else {
            return Err(Error::NotReported);
        };
        Ok(peer_silence::State {
            unacknowledged,
            // Linux resets the number of probes at each acknowledgement, but not that of repetitions.
            is_unanswered: probes > 0 || since_sent < since_answer,
            since_answer: Duration::from_millis(since_answer.into()),
        })
    }

    /// Returns the response about the connection, with the attributes of these bits.
    fn ask(&self, attributes: u8) -> Result<Vec<u8>, Error> {
        let mut socket =
            Socket::new(Domain::from(NETLINK), Type::DGRAM, Some(Protocol::from(SOCK_DIAG)))?;
        // The response is there as soon as the request has been sent.
        socket.set_nonblocking(true)?;
        socket.send(&self.request(attributes))?;
        let mut response = vec![0; RESPONSE_BYTES];
        let length = socket.read(&mut response)?;
        response.truncate(length);
        Ok(response)
    }

    fn request(&self, attributes: u8) -> Vec<u8> {
        let mut request = Vec::new();
        request.extend(REQUEST_BYTES.to_ne_bytes());
        request.extend(BY_FAMILY.to_ne_bytes());
        request.extend(IS_REQUEST.to_ne_bytes());
        // No sequence number, and no port, which the kernel assigns.
        request.extend([0; 8]);
        request.extend([FAMILIES[usize::from(self.local.is_ipv6())], TCP, attributes, 0]);
        // Connections in all states.
        request.extend(u32::MAX.to_ne_bytes());
        request.extend(self.local.port().to_be_bytes());
        request.extend(self.peer.port().to_be_bytes());
        request.extend(octets(self.local.ip()));
        request.extend(octets(self.peer.ip()));
        // Any interface.
        request.extend([0; 4]);
        request.extend(NO_COOKIE);
        request
    }
}

/// Returns an address as `inet_diag_sockid` holds it.
fn octets(address: net::IpAddr) -> [u8; 16] {
    match address {
        net::IpAddr::V4(address) => {
            let mut octets = [0; 16];
            octets[..4].copy_from_slice(&address.octets());
            octets
        }
        net::IpAddr::V6(address) => address.octets(),
    }
}

/// Returns the send queue of the connection whose peer has `peer_port`.
fn parse(response: &[u8], peer_port: u16) -> Result<u32, Error> {
    let kind = field(response, 4).map(u16::from_ne_bytes);
    if let (Some(ERROR), Some(code)) = (kind, field(response, ERROR_AT)) {
        let code = i32::from_ne_bytes(code).saturating_neg();
        return Err(io::Error::from_raw_os_error(code).into());
    }
    // Once a connection has ended, the response is about the listener at its address, which has no peer.
    let port = field(response, PEER_PORT_AT).map(u16::from_be_bytes);
    match field(response, QUEUE_AT) {
        Some(queue) if (kind, port) == (Some(BY_FAMILY), Some(peer_port)) => {
            Ok(u32::from_ne_bytes(queue))
        }
        Some(_) if kind == Some(BY_FAMILY) => Err(Error::NotReported),
        _ => Err(Error::Failed(io::ErrorKind::InvalidData.into())),
    }
}

/// Returns the value of the attribute of a type.
fn attribute(response: &[u8], kind: u16) -> Option<&[u8]> {
    let mut rest = response.get(ATTRIBUTES_AT..)?;
    loop {
        let length = usize::from(u16::from_ne_bytes(field(rest, 0)?));
        let value = rest.get(ATTRIBUTE_HEAD..length)?;
        if u16::from_ne_bytes(field(rest, 2)?) == kind {
            return Some(value);
        }
        rest = rest.get(length.next_multiple_of(ATTRIBUTE_HEAD)..)?;
    }
}

fn field<const LENGTH: usize>(response: &[u8], at: usize) -> Option<[u8; LENGTH]> {
    response.get(at..)?.first_chunk().copied()
}
