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

// lingerTime is how long a closing session may take to send what is queued, and
// its peer to read it. Peers on busy hosts take several tenths of a second.
const lingerTime = 2 * time.Second

// Handler answers orders. Its methods are called on the reader goroutine of a
// session and must not block.
type Handler interface {
	// Order is called for each order but probes.
	Order(s *Session, o *msg.Order)
	// Closed is called once when the session has ended.
	Closed(s *Session)
	// Incarnation is put into replies to probes.
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

// Reply queues a reply. It does not wait for the peer. Replies on an ended
// session are dropped, and a session whose peer takes nothing is closed.
func (s *Session) Reply(r *msg.Reply) {
	if r.CarriesStamp() {
		r.Stamp = s.config.stamp()
	}
	_, err := s.out.put(r)
	var full *QueueFullError
	if errors.As(err, &full) {
		go s.end(err)
	}
}

// Done is closed when the session has ended.
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

// Server accepts connections. It is safe for concurrent use.
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

// Listen accepts connections on a UDP address until Close.
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

// Close stops accepting, sends what is queued, ends all sessions and closes the
// socket, so that the address can be used again.
func (s *Server) Close() {
	s.cancel()
	for _, session := range s.list() {
		session.out.close(ErrClosed)
	}
	for _, session := range s.list() {
		select {
		case <-session.done:
		case <-time.After(lingerTime):
			session.end(ErrClosed)
		}
	}
	_ = s.listener.Close()
	_ = s.transport.Close() // ends sessions that were accepted meanwhile
	_ = s.socket.Close()
	s.wg.Wait()
}

func (s *Server) list() []*Session {
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
	s.track(session, true)
	defer s.track(session, false)
	defer s.handler.Closed(session)
	s.wg.Go(func() {
		err := session.out.run(stream)
		if errors.Is(err, ErrClosed) {
			flush(stream, q)
		}
		session.end(err)
	})
	session.end(s.read(session, stream))
}

// flush ends the stream and leaves the peer time to receive it. A peer closes the
// connection when it has read the stream to its end; closing it before would drop
// what it has not received yet.
func flush(stream *quic.Stream, q *quic.Conn) {
	_ = stream.Close()
	select {
	case <-q.Context().Done():
	case <-time.After(lingerTime):
	}
}

func (s *Server) track(session *Session, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
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
