package declarations

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// The rows of the table: the head names the newest revision, the log holds one delta a revision, and an object its
// newest declaration. An edit writes all three in one transaction whose condition is the head's row.
const (
	tablePrefix  = "decl/"
	headKey      = tablePrefix + "head"
	logPrefix    = tablePrefix + "log/"
	objectPrefix = tablePrefix + "object/"
)

func logKey(revision uint64) string { return fmt.Sprintf("%s%016x", logPrefix, revision) }

func objectKey(key *pb.ObjectKey) string { return objectPrefix + key.GetKind() + "/" + key.GetName() }

// ErrRow says that a row of the table can't be read.
var ErrRow = errors.New("declarations: malformed row")

func decodeRow(row backing.Row, message proto.Message) error {
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return errors.Wrapf(ErrRow, "%s: %v", row.Key, err)
	}
	return nil
}

func putRow(key string, message proto.Message) (backing.Put, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return backing.Put{}, errors.Wrapf(ErrInvalid, "%s: %v", key, err)
	}
	return backing.Put{Key: key, Value: value}, nil
}

// transaction returns the writes of an edit that is made on the head's row revision. The log's row that is keep revisions
// old is trimmed along.
func transaction(headRow uint64, delta *pb.Delta, keep uint64) (backing.Txn, error) {
	txn := backing.Txn{Conditions: []backing.Condition{{Key: headKey, Revision: headRow}}}
	head := &pb.Head{Revision: delta.GetRevision(), OperationId: delta.GetOperationId(), Author: delta.GetAuthor()}
	if err := addPut(&txn, headKey, head); err != nil {
		return txn, err
	}
	if err := addPut(&txn, logKey(delta.GetRevision()), delta); err != nil {
		return txn, err
	}
	for _, object := range delta.GetPut() {
		if err := addPut(&txn, objectKey(KeyOf(object)), object); err != nil {
			return txn, err
		}
	}
	for _, key := range delta.GetDeleted() {
		txn.Deletes = append(txn.Deletes, objectKey(key))
	}
	if delta.GetRevision() > keep {
		txn.Deletes = append(txn.Deletes, logKey(delta.GetRevision()-keep))
	}
	return txn, nil
}

func addPut(txn *backing.Txn, key string, message proto.Message) error {
	put, err := putRow(key, message)
	txn.Puts = append(txn.Puts, put)
	return err
}

// tableContent is all rows of the declarations as of one table revision.
type tableContent struct {
	headRow uint64
	head    *pb.Head
	objects []*pb.Object
	log     []*pb.Delta
}

// decodeContent sorts rows by what they hold. The rows are in the order of their keys, so that the log is in the order of
// its revisions.
func decodeContent(rows []backing.Row) (*tableContent, error) {
	content := &tableContent{head: &pb.Head{}}
	for _, row := range rows {
		if err := content.add(row); err != nil {
			return nil, err
		}
	}
	return content, nil
}

func (c *tableContent) add(row backing.Row) error {
	switch {
	case row.Key == headKey:
		c.headRow = row.Revision
		return decodeRow(row, c.head)
	case strings.HasPrefix(row.Key, logPrefix):
		delta := &pb.Delta{}
		c.log = append(c.log, delta)
		return decodeRow(row, delta)
	case strings.HasPrefix(row.Key, objectPrefix):
		object := &pb.Object{}
		c.objects = append(c.objects, object)
		return decodeRow(row, object)
	}
	return nil
}
