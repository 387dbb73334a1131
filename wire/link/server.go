package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/msg"
)

// lingerTimeout bounds how long a closing session waits for sending its queue, and for
// the peer to read it. Peers on busy hosts take several tenths of a second.
const lingerTimeout = 2 * time.Second

// Handler handles orders. Its methods are called on the reader goroutine of a session
// and must not block.
type Handler interface {
	// Order is called for each order except probes.
	Order(s *Session, o *msg.Order)
	// Closed is called once, when the session has ended.
	Closed(s *Session)
	// Incarnation returns the incarnation for replies to probes.
	Incarnation() id.Incarnation
}

// Session is the listening side of a connection. It is safe for concurrent use.
type Session struct {
	// Role and Host identify the peer.
	Role keys.Role
	Host id.Host

	config Config
	quic   *quic.Conn
	out    *outbox
	done   chan struct{}
	once   sync.Once
}

// Reply queues a reply. It does not wait for the peer. Replies on an ended session
// are dropped, and a session with a full send queue is closed.
func (s *Session) Reply(r *msg.Reply) {
	if r.CarriesStamp() {
		r.Stamp = s.config.stamp()
	}
	_, err := s.out.enqueue(r)
	var full *QueueFullError
	if errors.As(err, &full) {
		go s.end(err)
	}
}

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

func (s *Session) end(cause error) {
	s.once.Do(func() {
		if cause == nil {
			cause = ErrClosed
		}
		s.out.close(cause)
		_ = s.quic.CloseWithError(0, "")
		close(s.done)
	})
}

// Server accepts connections and serves their sessions. It is safe for concurrent use.
type Server struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	config    Config
	handler   Handler
	wg        sync.WaitGroup
	cancel    context.CancelFunc

	// mu is a leaf lock.
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// Listen starts a server on a UDP address.
func Listen(address string, t *tls.Config, c Config, h Handler) (*Server, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(t, c.quic())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		socket:    socket,
		transport: transport,
		listener:  listener,
		config:    c,
		handler:   h,
		cancel:    cancel,
		sessions:  make(map[*Session]struct{}),
	}
	s.wg.Go(func() { s.accept(ctx) })
	return s, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", udp)
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting, sends queued replies, ends all sessions and closes the socket,
// so that the address can be reused.
func (s *Server) Close() {
	s.cancel()
	for _, session := range s.activeSessions() {
		session.out.close(ErrClosed)
	}
	for _, session := range s.activeSessions() {
		select {
		case <-session.done:
		case <-time.After(lingerTimeout):
			session.end(ErrClosed)
		}
	}
	_ = s.listener.Close()
	_ = s.transport.Close() // ends sessions accepted since
	_ = s.socket.Close()
	s.wg.Wait()
}

func (s *Server) activeSessions() []*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Session, 0, len(s.sessions))
	for session := range s.sessions {
		out = append(out, session)
	}
	return out
}

func (s *Server) accept(ctx context.Context) {
	for {
		q, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(q) })
	}
}

func (s *Server) serve(q *quic.Conn) {
	role, host, err := keys.PeerIdentity(q.ConnectionState().TLS)
	if err != nil {
		_ = q.CloseWithError(1, "")
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), s.config.DialTimeout)
	stream, err := q.AcceptStream(ctx)
	cancel()
	if err != nil {
		_ = q.CloseWithError(1, "")
		return
	}
	session := &Session{Role: role, Host: host, config: s.config, quic: q, out: newOutbox(s.config), done: make(chan struct{})}
	s.setActive(session, true)
	defer s.setActive(session, false)
	defer s.handler.Closed(session)
	s.wg.Go(func() {
		err := session.out.run(stream)
		if errors.Is(err, ErrClosed) {
			awaitPeerClose(stream, q)
		}
		session.end(err)
	})
	session.end(s.read(session, stream))
}

// awaitPeerClose ends the stream and waits for the peer to close the connection, which it
// does at the end of the stream. Closing it earlier would drop data in flight.
func awaitPeerClose(stream *quic.Stream, q *quic.Conn) {
	_ = stream.Close()
	select {
	case <-q.Context().Done():
	case <-time.After(lingerTimeout):
	}
}

func (s *Server) setActive(session *Session, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active {
		s.sessions[session] = struct{}{}
		return
	}
	delete(s.sessions, session)
}

func (s *Server) read(session *Session, stream *quic.Stream) error {
	r := codec.NewReader(stream)
	for {
		o := new(msg.Order)
		if err := r.Next(o); err != nil {
			return err
		}
		if o.Probe != nil {
			session.Reply(&msg.Reply{ID: o.ID, Probe: &msg.Probe{Incarnation: s.handler.Incarnation()}})
			continue
		}
		s.config.observe(o.Stamp)
		s.handler.Order(session, o)
	}
}
