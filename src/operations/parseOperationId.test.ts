import { parseOperationId } from './parseOperationId';
import { signTicket } from './signTicket';

const ticket = { workspace: 'kiambu', vm: 'a', incarnation: 100, serial: 7 };

describe('parseOperationId', () => {
  it('parses an id whose ticket was signed with the current or the previous key', () => {
    const id = `${signTicket(ticket, 'old')}/12`;
    const expected = { type: 'ticketed', ticket, sequence: 12 };
    expect(parseOperationId(id, ['old'])).toEqual(expected);
    expect(parseOperationId(id, ['new', 'old'])).toEqual(expected);
    expect(parseOperationId(id, ['new']).type).toBe('invalid');
  });

  it('refuses a ticket whose claims were changed', () => {
    const other = signTicket({ ...ticket, workspace: 'derwent' }, 'forger').split('.')[1] ?? '';
    const [prefix = '', , mac = ''] = signTicket(ticket, 'key').split('.');
    expect(parseOperationId(`${prefix}.${other}.${mac}/1`, ['key']).type).toBe('invalid');
  });

  it.each(['/0', '/01', '/-1', '/1x', '', '/', '/9999999999999999'])(
    'refuses the sequence %j',
    (sequence) => {
      const id = `${signTicket(ticket, 'key')}${sequence}`;
      expect(parseOperationId(id, ['key']).type).toBe('invalid');
    },
  );

  it('treats any other id within the length limit as a key that the caller chose', () => {
    expect(parseOperationId('order 17', ['key'])).toEqual({ type: 'own-key' });
    expect(parseOperationId('', ['key']).type).toBe('invalid');
    expect(parseOperationId('x'.repeat(513), ['key']).type).toBe('invalid');
  });
});
