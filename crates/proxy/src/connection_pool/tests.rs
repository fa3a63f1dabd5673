use super::*;
use crate::attempt::{Attempt, AttemptDeadlines};
use crate::test_fixtures::{
    empty_request, first_attempt, memory_budget, read_request, resolved_endpoint,
};
use brookstack_balancer::BackendState;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// Starts a backend and returns its address. The backend does not respond to its first `count`
/// requests until all of them have arrived, so that each is sent on its own connection.
fn start_backend(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let streams: Vec<TcpStream> = (0..count)
            .map(|_| {
                let mut stream = listener.accept().expect("a connection").0;
                read_request(&mut stream);
                stream
            })
            .collect();
        for mut stream in &streams {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
                .expect("written");
        }
        let _ = listener.accept(); // does not return, so that the connections stay open
    });
    address
}

fn upstream(id: u64, address: SocketAddr) -> Rc<Upstream> {
    let endpoint = resolved_endpoint(id, BackendState::Ready, address);
    Rc::new(Upstream::new(endpoint))
}

/// An attempt for a request without headers or body, with a deadline in 30 s.
fn attempt(pool: &Rc<ConnectionPool>, upstream: &Rc<Upstream>) -> Attempt {
    Attempt {
        id: first_attempt(),
        pool: pool.clone(),
        upstream: upstream.clone(),
        request: empty_request(),
        deadlines: AttemptDeadlines {
            send_by: None,
            deadline: pool.clock.now() + Micros(30_000_000),
        },
        progress: Rc::default(),
        events: tokio::sync::mpsc::unbounded_channel().0,
    }
}

/// A pool of up to 64 connections that are kept for ten minutes.
fn long_lived_pool() -> Rc<ConnectionPool> {
    let second = Micros(1_000_000);
    let idle_timeout = second.times(600.0);
    let memory = memory_budget();
    Rc::new(ConnectionPool::new(
        Clock::new(),
        second,
        idle_timeout,
        64,
        memory,
    ))
}

/// The pool must visit only the upstreams that have idle connections, a few of many. Each of them
/// must stay on the pool's list until it has no idle connections.
#[tokio::test]
async fn only_upstreams_with_idle_connections_are_visited() {
    let pool = long_lived_pool();
    let with_one = upstream(1, start_backend(1));
    let with_three = upstream(2, start_backend(3));
    let _unused: Vec<_> = (3..1000)
        .map(|id| upstream(id, SocketAddr::from(([127, 0, 0, 1], 9))))
        .collect();
    let local = tokio::task::LocalSet::new();
    let attempts = [&with_one, &with_three, &with_three, &with_three].map(|upstream| {
        let attempt = attempt(&pool, upstream);
        local.spawn_local(async move { attempt.run().await.outcome })
    });
    let check = async {
        for attempt in attempts {
            assert_eq!(attempt.await.expect("no panic"), Outcome::Success);
        }
        let idle_and_upstream_counts = || {
            let upstream_count = pool.upstreams_with_idle.borrow().len();
            (pool.idle_connections(), upstream_count)
        };
        assert_eq!(idle_and_upstream_counts(), (4, 2));
        pool.close_expired().await;
        assert_eq!(
            idle_and_upstream_counts(),
            (4, 2),
            "open connections are kept"
        );
        with_three.close_to_new_requests();
        pool.close_expired().await;
        assert_eq!(idle_and_upstream_counts(), (1, 1));
        assert_eq!(
            pool.close_idle(5, CloseReason::IdleLimit),
            Some(with_one.target.address)
        );
        pool.close_expired().await;
        assert_eq!(idle_and_upstream_counts(), (0, 0));
    };
    local.run_until(check).await;
}
